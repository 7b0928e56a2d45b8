#pragma once

// Gives a Beast parser what has arrived, within the limits of a message. Inside
// http only.
//
//   message_feed feed({ 16 * 1024, 128 });
//   if (const error_code wrong = feed.Put(parser, buffer); wrong) { refuse }
//   if (parser.is_done()) { ... }
//
// The parser's own header limit holds only for the field that it waits for, and
// not at all for a chunk's line or for trailers, which it wants in the buffer
// whole.

#include <cstddef>
#include <iterator>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace oriolewalk::http {

struct feed_limits
{
  // Of the start line with all fields, and of what the parser leaves in the
  // buffer after them: a chunk's line, or all trailers.
  std::size_t mHeaderBytes = 0;
  std::size_t mFields = 0; // trailers count
};

class message_feed
{
public:
  explicit message_feed(feed_limits aLimits)
    : mLimits(aLimits)
  {
  }

  // Takes what it can from the buffer. That more is needed is no error; what is
  // beyond a limit is header_limit or body_limit.
  template<class Parser>
  boost::system::error_code Put(Parser& aParser,
                                boost::beast::flat_buffer& aBuffer)
  {
    if (!aParser.is_header_done()) {
      if (const auto wrong = PutHeader(aParser, aBuffer); wrong) {
        return wrong;
      }
    }
    return aParser.is_header_done() ? PutRest(aParser, aBuffer)
                                    : boost::system::error_code{};
  }

private:
  using error = boost::beast::http::error;

  template<class Parser>
  boost::system::error_code PutHeader(Parser& aParser,
                                      boost::beast::flat_buffer& aBuffer)
  {
    while (aBuffer.size() > 0 && !aParser.is_header_done()) {
      const std::size_t room = mLimits.mHeaderBytes - mHeaderBytes;
      if (room == 0) {
        return error::header_limit;
      }
      const auto wrong = PutOnce(aParser, aBuffer, room);
      if (wrong || !FieldsFit(aParser)) {
        return wrong ? wrong : error::header_limit;
      }
      if (mNeedsMore && !aParser.is_header_done()) {
        return Bounded(aBuffer, mLimits.mHeaderBytes - mHeaderBytes);
      }
    }
    return {};
  }

  template<class Parser>
  boost::system::error_code PutRest(Parser& aParser,
                                    boost::beast::flat_buffer& aBuffer)
  {
    while (aBuffer.size() > 0 && !aParser.is_done()) {
      if (const auto wrong = PutOnce(aParser, aBuffer, aBuffer.size()); wrong) {
        return wrong;
      }
      if (mNeedsMore) {
        return Bounded(aBuffer, mLimits.mHeaderBytes);
      }
    }
    // Trailers are among the fields by now.
    return !aParser.is_done() || FieldsFit(aParser)
             ? boost::system::error_code{}
             : error::header_limit;
  }

  // Gives the parser up to aMost bytes; mNeedsMore says whether it waits.
  template<class Parser>
  boost::system::error_code PutOnce(Parser& aParser,
                                    boost::beast::flat_buffer& aBuffer,
                                    std::size_t aMost)
  {
    boost::system::error_code wrong;
    const std::size_t used =
      aParser.put(boost::asio::buffer(aBuffer.data(), aMost), wrong);
    aBuffer.consume(used);
    if (!aParser.is_header_done()) {
      mHeaderBytes += used;
    }
    mNeedsMore = wrong == error::need_more;
    return mNeedsMore ? boost::system::error_code{} : wrong;
  }

  // What the parser waits for is in the buffer, and must end below aLimit.
  static boost::system::error_code Bounded(
    const boost::beast::flat_buffer& aBuffer,
    std::size_t aLimit)
  {
    return aBuffer.size() >= aLimit ? error::header_limit
                                    : boost::system::error_code{};
  }

  template<class Parser>
  [[nodiscard]] bool FieldsFit(const Parser& aParser) const
  {
    const auto& fields = aParser.get();
    return static_cast<std::size_t>(
             std::distance(fields.begin(), fields.end())) <= mLimits.mFields;
  }

  feed_limits mLimits;
  std::size_t mHeaderBytes = 0; // consumed before the header's end
  bool mNeedsMore = false;
};

} // namespace oriolewalk::http
