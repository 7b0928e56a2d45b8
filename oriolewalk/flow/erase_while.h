#pragma once

// Erases what belongs to one job from maps that are ordered by the job first,
// such as those of its steps, tasks or runs.
//
//   EraseWhile(mTickets, step_ref{ job, 0, 0 },
//              [&](const step_ref& aStep) { return aStep.mJob == job; });
//
// At 1,100 workers a hundred jobs end per second. Scanning the entries of all
// jobs for each of them took a twelfth of the leader's decision time.

namespace oriolewalk::flow {

// Erases entries from the first key that isn't less than aFirst on, while
// aPredicate(key) holds. Cost: logarithmic, plus the erased entries.
template<class Map, class Predicate>
void
EraseWhile(Map& aMap,
           const typename Map::key_type& aFirst,
           Predicate aPredicate)
{
  for (auto next = aMap.lower_bound(aFirst);
       next != aMap.end() && aPredicate(next->first);) {
    next = aMap.erase(next);
  }
}

} // namespace oriolewalk::flow
