#pragma once

// What the organisations have running, for a page of metrics: a bounded number
// of rows, however many organisations there are.
//
//   usage_report report(20);
//   for (const organisation_use& use : report.Update(accounts)) { ... }
//
// An organisation that has once been among the largest keeps its row, so that
// its series doesn't end when others grow. Once all rows are taken, everybody
// else is in the row of the rest.
//
// Owned by whoever shows the page; one thread. Does no I/O.

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/organisations/quota.h"

namespace oriolewalk::organisations {

using quota_accounts = std::unordered_map<organisation_id, quota_account>;

struct organisation_use
{
  organisation_id mName; // empty: all organisations without a row of their own
  cell::resources mRunning{};
  cell::resources mMaximum{}; // 0: no limit, or the rest
};

class usage_report
{
public:
  explicit usage_report(std::size_t aMaxRows)
    : mMaxRows(aMaxRows)
  {
  }

  // The rows of organisations by the order in which they got them, then the
  // rest.
  std::vector<organisation_use> Update(const quota_accounts& aAccounts);

private:
  std::size_t mMaxRows;
  std::vector<organisation_id> mNames;
};

} // namespace oriolewalk::organisations
