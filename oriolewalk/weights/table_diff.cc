#include <algorithm>

#include "oriolewalk/weights/table_parser.h"
#include "oriolewalk/weights/weights_register.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {

// Both tables are sorted by pair: one walk over the two.
table_diff
DiffTables(const weights_table& aFrom, const weights_table& aTo)
{
  table_diff diff;
  auto before = aFrom.Rows().begin();
  auto after = aTo.Rows().begin();
  const auto beforeEnd = aFrom.Rows().end();
  const auto afterEnd = aTo.Rows().end();
  while (before != beforeEnd && after != afterEnd) {
    if (PairOf(*before) < PairOf(*after)) {
      diff.mRemoved.push_back(*before++);
    } else if (PairOf(*after) < PairOf(*before)) {
      diff.mAdded.push_back(*after++);
    } else {
      if (*before != *after) {
        diff.mChanged.push_back({ *before, *after });
      }
      ++before;
      ++after;
    }
  }
  diff.mRemoved.insert(diff.mRemoved.end(), before, beforeEnd);
  diff.mAdded.insert(diff.mAdded.end(), after, afterEnd);
  return diff;
}

} // namespace oriolewalk::weights
