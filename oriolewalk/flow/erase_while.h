#pragma once

// What is kept of a job's steps, tasks or runs, in maps ordered by the job
// first.
//
//   EraseFrom(mTickets, step_ref{ job, 0, 0 },
//             [&](const step_ref& aStep) { return aStep.mJob == job; });
//
// Jobs end a hundred times a second at 1,100 workers: to go through all that is
// kept of all jobs for each of them took a twelfth of the leader's decisions.

namespace oriolewalk::flow {

// Erases from the first key that isn't before aFirst on, while aIsOne(key).
// Cost: logarithmic, and what is erased.
template<class Map, class IsOne>
void
EraseWhile(Map& aMap, const typename Map::key_type& aFirst, IsOne aIsOne)
{
  for (auto next = aMap.lower_bound(aFirst);
       next != aMap.end() && aIsOne(next->first);) {
    next = aMap.erase(next);
  }
}

} // namespace oriolewalk::flow
