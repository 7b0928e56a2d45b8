#pragma once

// One connection of a client. Inside http only.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/client_core.h"
#include "oriolewalk/http/deadline.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/message_feed.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

// Owned by its outstanding operations and, while idle, by the pool. Runs on
// its own strand.
class connection : public std::enable_shared_from_this<connection>
{
public:
  connection(boost::asio::io_context& aContext,
             settings::address aTo,
             std::shared_ptr<client::core> aCore);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  connection(connection&&) = delete;
  connection& operator=(connection&&) = delete;

  // Any thread: connects if it is new, and sends.
  void Start(std::unique_ptr<call> aCall);
  // Any thread.
  void Close();
  [[nodiscard]] const settings::address& To() const { return mTo; }
  // For mDeadline.
  void HandleTimeout();

private:
  using parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;
  using outgoing = boost::beast::http::request<boost::beast::http::string_body>;

  enum class state : std::uint8_t
  {
    Fresh,
    Connecting,
    Sending, // from the first try to write until the whole answer
    Idle,
    Closed,
  };

  void Begin();
  void Connect();
  void HandleConnect(boost::system::error_code aCode);
  [[nodiscard]] bool IsStale();
  // Asks for the process's name first, if the call wants one that it hasn't
  // told here.
  void AskOrWrite();
  void Write(const request& aHead, bytes aBody);
  void HandleWritten(boost::system::error_code aCode, std::size_t aCount);
  void Read();
  void HandleRead(boost::system::error_code aCode, std::size_t aCount);
  void StartAnswer();
  [[nodiscard]] boost::system::error_code Feed();
  void Parse();
  // False: there is no room for the answer.
  [[nodiscard]] bool HoldReceived();
  void ReleaseHeld();
  void HandleAnswer();
  void HandleName(response aAnswer, bool aReuse);
  [[nodiscard]] bool Matches(const response& aResponse) const;
  void FailCall(oriolewalk::error_code aCode,
                std::string_view aReason,
                std::optional<response> aAnswer = {});
  void CloseNow();

  boost::asio::ip::tcp::socket mSocket;
  const settings::address mTo;
  std::shared_ptr<client::core> mCore;
  deadline<connection> mDeadline;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<call> mCall;
  std::optional<outgoing> mMessage;
  std::unique_ptr<parser> mParser; // set from the first use on
  std::optional<message_feed> mFeed;
  std::size_t mInterimAnswers = 0;
  std::size_t mHeldBytes = 0; // of an answer
  state mState = state::Fresh;
  bool mUsedBefore = false;
  bool mReading = false;
  bool mWriting = false;
  bool mBytesWritten = false;
  bool mAsking = false;  // under way is the question, not the request
  std::string mPeerName; // as the process told it here
};

} // namespace oriolewalk::http
