#include "oriolewalk/storage/sealed_file.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <xxhash.h>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/storage/fixed_bytes.h"
#include "oriolewalk/storage/segment.h"

namespace oriolewalk::storage {
namespace {

constexpr std::string_view kMagic = "ORIOLESF";
constexpr std::string_view kStep = "read file";
// Magic, version, reserved, length, checksum.
constexpr std::size_t kVersionAt = 8;
constexpr std::size_t kLengthAt = 16;
constexpr std::size_t kSumAt = 24;
constexpr std::size_t kHeaderBytes = 32;

std::uint64_t
Sum(std::string_view aKind, std::string_view aFields, std::string_view aContent)
{
  const auto kind = XXH64(aKind.data(), aKind.size(), 0);
  return XXH64(aContent.data(),
               aContent.size(),
               XXH64(aFields.data(), aFields.size(), kind));
}

} // namespace

bytes
Seal(std::string_view aKind, std::string_view aContent)
{
  bytes file(kMagic);
  AppendFixed(file, kFormatVersion);
  AppendFixed(file, std::uint32_t{ 0 });
  AppendFixed(file, std::uint64_t{ aContent.size() });
  AppendFixed(file, Sum(aKind, file, aContent));
  file.append(aContent);
  return file;
}

result<std::string_view>
Unseal(std::string_view aKind, std::string_view aFile, const std::string& aPath)
{
  if (aFile.size() < kHeaderBytes || !aFile.starts_with(kMagic)) {
    return Fail(
      error_code::Corrupt, kStep, aPath + " at offset 0: no valid header");
  }
  const auto fields = aFile.substr(0, kSumAt);
  const auto content = aFile.substr(kHeaderBytes);
  if (ReadFixed<std::uint64_t>(aFile, kLengthAt) != content.size()) {
    return Fail(error_code::Corrupt,
                kStep,
                aPath + " at offset " + std::to_string(kLengthAt) +
                  ": the length is not that of the file");
  }
  if (Sum(aKind, fields, content) != ReadFixed<std::uint64_t>(aFile, kSumAt)) {
    return Fail(error_code::Corrupt,
                kStep,
                aPath + " at offset " + std::to_string(kSumAt) +
                  ": the content fails its checksum");
  }
  if (ReadFixed<std::uint32_t>(aFile, kVersionAt) > kFormatVersion) {
    return Fail(error_code::InvalidArgument,
                kStep,
                aPath + ": written by a newer version");
  }
  return content;
}

} // namespace oriolewalk::storage
