#include "oriolewalk/machines/machine_call.h"

namespace oriolewalk::machines {

std::string_view
ToString(call_result aResult)
{
  switch (aResult) {
    case call_result::Done:
      return "done";
    case call_result::Fenced:
      return "fenced";
    case call_result::Busy:
      return "busy";
    case call_result::OtherWave:
      return "other wave";
    case call_result::NoMachine:
      return "no machine";
    case call_result::TooMany:
      return "too many";
    case call_result::NotSent:
      return "not sent";
    case call_result::NoAnswer:
      break;
  }
  return "no answer";
}

} // namespace oriolewalk::machines
