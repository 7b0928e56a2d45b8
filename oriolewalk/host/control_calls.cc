// The calls that a control process takes and makes: of other processes, of its
// own workers' and operators' front end, and to the leader.

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/host/control_host.h"

namespace oriolewalk::host {

namespace {

// A summary of heartbeats that took longer says little by then.
constexpr milliseconds kTellBeatsBound{ 700 };
// Each brings a copy of the whole table from the leader.
constexpr std::size_t kMaxTableReads = 4;

} // namespace

template<class Message, class Then>
void
control_host::TakeOver(const bytes& aBody,
                       const wire::reply_function& aReply,
                       Then aThen)
{
  auto message = Decode<Message>(aBody, "call");
  if (!message) {
    aReply(Fail(message.error()));
    return;
  }
  boost::asio::post(
    mContext,
    [then = std::move(aThen), got = std::move(*message)]() { then(got); });
  aReply(bytes());
}

// The RPC node's thread: decodes there.
void
control_host::OnCall(std::uint16_t aKind,
                     const bytes& aBody,
                     const wire::reply_function& aReply)
{
  if (aKind == flow::kAdviceCall) {
    auto asked = Decode<flow::advice_request>(aBody, "advice");
    if (!asked) {
      aReply(Fail(asked.error()));
      return;
    }
    boost::asio::post(mContext, [this, request = std::move(*asked), aReply]() {
      OnAdviceCall(request, aReply);
    });
    return;
  }
  if (aKind == flow::kLeaderNotice) {
    TakeOver<flow::leader_notice>(
      aBody, aReply, [this](const flow::leader_notice& aNotice) {
        mLink.Told(aNotice.mAddress);
      });
    return;
  }
  if (aKind == flow::kOrdersCall) {
    TakeOver<flow::order_batch>(
      aBody, aReply, [this](const flow::order_batch& aBatch) {
        mOrders.Carry(aBatch);
      });
    return;
  }
  if (aKind == flow::kTimedOrdersCall) {
    TakeOver<flow::timed_order_batch>(
      aBody, aReply, [this](const flow::timed_order_batch& aBatch) {
        mOrders.Carry(aBatch);
      });
    return;
  }
  if (aKind == flow::kAnswersCall) {
    TakeOver<flow::answer_batch>(
      aBody, aReply, [this](const flow::answer_batch& aBatch) {
        mOrders.Answered(aBatch);
      });
    return;
  }
  auto asked = aKind == flow::kFlowCall
                 ? Decode<flow::flow_request>(aBody, "call")
                 : Fail(error_code::InvalidArgument, "call", "unknown kind");
  if (!asked) {
    aReply(Fail(asked.error()));
    return;
  }
  // A leader that is late is there all the same: whoever gets no answer to this
  // refuses its callers.
  if (std::holds_alternative<flow::leader_probe>(*asked) && IsServing()) {
    aReply(Encode(flow::flow_answer(flow::acknowledgement{})));
    return;
  }
  boost::asio::post(mContext, [this, request = std::move(*asked), aReply]() {
    OnFlowCall(request, aReply);
  });
}

void
control_host::OnFlowCall(const flow::flow_request& aRequest,
                         wire::reply_function aReply)
{
  AskLocal(
    aRequest,
    [this, reply = std::move(aReply)](result<flow::flow_answer> aAnswer) {
      if (aAnswer) {
        reply(Encode(*aAnswer));
        return;
      }
      error problem = aAnswer.error();
      if (problem.mCode == error_code::NotLeader && problem.mMessage.empty()) {
        // Whoever knows spares alone must find the leader through them.
        problem.mMessage = LeaderAddress();
      }
      reply(Fail(std::move(problem)));
    });
}

void
control_host::OnAdviceCall(const flow::advice_request& aRequest,
                           wire::reply_function aReply)
{
  mPolicy(
    aRequest, [reply = std::move(aReply)](result<flow::approvals> aAnswer) {
      reply(aAnswer ? result<bytes>(Encode(*aAnswer)) : Fail(aAnswer.error()));
    });
}

void
control_host::AskLocal(const flow::flow_request& aRequest, flow_callback aDone)
{
  if (!mCore) {
    aDone(Fail(error_code::NotLeader, "ask", ""));
    return;
  }
  const flow::call_number call = ++mLastCall;
  mCalls.emplace(call, std::move(aDone));
  mCore->HandleRequest(call, aRequest, Now());
  SchedulePump();
}

void
control_host::Ask(flow::flow_request aRequest,
                  time_point aUntil,
                  flow_callback aDone)
{
  if (std::holds_alternative<flow::table_read>(aRequest)) {
    AskTable(aUntil, std::move(aDone));
    return;
  }
  mLink.Ask(std::move(aRequest), aUntil, std::move(aDone));
}

void
control_host::AskTable(time_point aUntil, flow_callback aDone)
{
  if (mTableReads >= kMaxTableReads) {
    aDone(Fail(error_code::Full, "reading the table", "others are reading it"));
    return;
  }
  ++mTableReads;
  mLink.Ask(flow::table_read{},
            aUntil,
            [this, done = std::move(aDone)](result<flow::flow_answer> aAnswer) {
              --mTableReads;
              done(std::move(aAnswer));
            });
}

void
control_host::Ask(const flow::worker_heartbeat& aBeat,
                  time_point aUntil,
                  flow_callback aDone)
{
  if (mBeats.TryAccept(aBeat, runtime_clock::now())) {
    aDone(flow::flow_answer(flow::acknowledgement{ true }));
    return;
  }
  mLink.Ask(
    aBeat,
    aUntil,
    [this, aBeat, done = std::move(aDone)](result<flow::flow_answer> aAnswer) {
      const auto* known =
        aAnswer ? std::get_if<flow::acknowledgement>(&*aAnswer) : nullptr;
      if (known != nullptr && known->mAcceptsSummaries) {
        mBeats.OnAcknowledged(aBeat, runtime_clock::now());
      }
      done(std::move(aAnswer));
    });
}

void
control_host::TellBeats()
{
  const time_point now = runtime_clock::now();
  auto summary = mBeats.TakeSummary(now);
  if (!summary) {
    return;
  }
  mLink.Ask(std::move(*summary),
            now + kTellBeatsBound,
            [this](const result<flow::flow_answer>& aAnswer) {
              const auto* unknown =
                aAnswer ? std::get_if<flow::unknown_workers>(&*aAnswer)
                        : nullptr;
              if (unknown == nullptr) {
                mBeats.OnSummaryFailed();
              } else {
                mBeats.OnSummaryAccepted(unknown->mIds, runtime_clock::now());
              }
            });
}

} // namespace oriolewalk::host
