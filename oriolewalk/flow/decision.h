#pragma once

// One decision, for the log: what was decided, on which inputs.
//
//   notes.push_back({ "job.accepted", { { "job", id }, { "queue", name } } });

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolewalk::flow {

struct decision
{
  std::string_view mEvent; // a literal
  std::vector<std::pair<std::string_view, std::string>> mFields;
};

} // namespace oriolewalk::flow
