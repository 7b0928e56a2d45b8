// oriole-platform-control: the control process on the users' platform. Its
// settings are the file that ORIOLEWALK_SETTINGS names; --check reads them and
// ends.

#include "platform/main.h"
#include "platform/process.h"

int
main(int aCount, char** aArguments)
{
  return platform::RunMain(
    "oriole-platform-control", aCount, aArguments, platform::RunControl);
}
