#pragma once

// Strong identifiers: two kinds of id never mix, and none is a bare number or
// string.
//
//   struct worker_tag;
//   using worker_id = text_id<worker_tag>;

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace oriolewalk {

template<class Tag, class Rep>
class strong_id
{
public:
  using rep = Rep;

  strong_id() = default;
  explicit strong_id(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  [[nodiscard]] const Rep& Value() const { return mValue; }
  auto operator<=>(const strong_id&) const = default;

  // For cereal.
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mValue);
  }

private:
  Rep mValue{};
};

template<class Tag>
using text_id = strong_id<Tag, std::string>;
template<class Tag>
using number_id = strong_id<Tag, std::uint64_t>;

using organisation_id = text_id<struct organisation_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using rack_id = text_id<struct rack_tag>;
// Hardware that runs one worker after another.
using machine_id = text_id<struct machine_tag>;
using worker_id = text_id<struct worker_tag>;
using target_id = text_id<struct target_tag>;
using service_id = text_id<struct service_tag>;
using job_id = text_id<struct job_tag>;
using instance_id = text_id<struct instance_tag>;
// A caller's idempotency key; unique within its organisation.
using request_key = text_id<struct request_key_tag>;

} // namespace oriolewalk

template<class Tag, class Rep>
struct std::hash<oriolewalk::strong_id<Tag, Rep>>
{
  std::size_t operator()(const oriolewalk::strong_id<Tag, Rep>& aId) const
  {
    return std::hash<Rep>{}(aId.Value());
  }
};
