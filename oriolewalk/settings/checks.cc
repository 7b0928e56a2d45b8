#include "oriolewalk/settings/settings.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <stdlib.h> // NOLINT(modernize-deprecated-headers): mkstemp
#include <unistd.h>

#include "oriolewalk/settings/address.h"

// Checks that several programs share.

namespace oriolewalk::settings {

std::vector<std::string>
FolderProblem(std::string_view aName, const std::string& aFolder)
{
  std::string path = aFolder + "/.oriole-check-XXXXXX";
  const int file = mkstemp(path.data());
  if (file < 0) {
    return { "--" + std::string(aName) + " is '" + aFolder +
             "': allowed is a folder in which files can be made (" +
             std::generic_category().message(errno) + ")" };
  }
  close(file);
  unlink(path.c_str());
  return {};
}

std::vector<std::string>
SelfProblem(std::span<const peer> aPeers,
            std::uint64_t aId,
            const address& aListen)
{
  const auto self = std::ranges::find(aPeers, aId, &peer::mId);
  if (self == aPeers.end()) {
    return { "the peer list has no id " + std::to_string(aId) +
             ": it must hold this process itself" };
  }
  if (self->mAddress != aListen) {
    return { "the peer list has id " + std::to_string(aId) + " at " +
             self->mAddress.ToString() + ", but this process listens on " +
             aListen.ToString() + ": they must be the same" };
  }
  return {};
}

} // namespace oriolewalk::settings
