#pragma once

// One entry of the decision log: what was decided, and on which inputs.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolewalk::flow {

struct decision
{
  std::string_view mEvent; // a string literal
  std::vector<std::pair<std::string_view, std::string>> mFields;
};

} // namespace oriolewalk::flow
