#include "oriolewalk/wire/kj_compat.h"

#include "oriolewalk/wire/rpc_node.h"

#include <future>
#include <map>
#include <thread>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "oriolewalk/wire/incoming_connections.h"
#include "oriolewalk/wire/peer_link.h"
#include "oriolewalk/wire/reply_code.h"
#include "oriolewalk/wire/task_queue.h"

namespace oriolewalk::wire {

namespace {

// After a failed accept: most likely no file descriptor is left.
constexpr kj::Duration kAcceptPause = 50 * kj::MILLISECONDS;

// On the heap, since g++ 12 reports a false maybe-uninitialized for kj's and
// tl's storage of an optional value together.
using owned_answer = kj::Own<result<bytes>>;
using answer_fulfiller = kj::Own<kj::PromiseFulfiller<owned_answer>>;

// Received calls that have no answer yet. The loop's thread only.
class open_answers
{
public:
  std::uint64_t Add(answer_fulfiller aFulfiller)
  {
    mOpen.emplace(++mLast, kj::mv(aFulfiller));
    return mLast;
  }

  void Fulfil(std::uint64_t aId, result<bytes> aAnswer)
  {
    if (auto found = mOpen.extract(aId)) {
      found.mapped()->fulfill(kj::heap<result<bytes>>(std::move(aAnswer)));
    }
  }

private:
  std::uint64_t mLast = 0;
  std::map<std::uint64_t, answer_fulfiller> mOpen;
};

class channel_server final : public Channel::Server
{
public:
  channel_server(std::shared_ptr<task_queue> aTasks,
                 open_answers& aOpen,
                 call_handler& aOnCall,
                 deliver_handler& aOnDeliver)
    : mTasks(std::move(aTasks))
    , mOpen(aOpen)
    , mOnCall(aOnCall)
    , mOnDeliver(aOnDeliver)
  {
  }

  // The names are those of the generated interface.
  // NOLINTBEGIN(readability-identifier-naming)
  kj::Promise<void> call(CallContext aContext) override
  {
    auto paf = kj::newPromiseAndFulfiller<owned_answer>();
    const std::uint64_t id = mOpen.Add(kj::mv(paf.fulfiller));
    const auto body = aContext.getParams().getBody();
    mOnCall(aContext.getParams().getKind(),
            bytes(reinterpret_cast<const char*>(body.begin()), body.size()),
            [tasks = mTasks, &open = mOpen, id](result<bytes> aAnswer) {
              tasks->Post([&open, id, answer = std::move(aAnswer)]() mutable {
                open.Fulfil(id, std::move(answer));
              });
            });
    return paf.promise.then([aContext](owned_answer aAnswer) mutable {
      auto results = aContext.getResults();
      results.setCode(ReplyCode(*aAnswer));
      const bytes answer = ReplyBody(std::move(*aAnswer));
      results.setBody(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(answer.data()), answer.size()));
    });
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    for (const auto message : aContext.getParams().getMessages()) {
      mOnDeliver(
        bytes(reinterpret_cast<const char*>(message.begin()), message.size()));
    }
    return kj::READY_NOW;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::shared_ptr<task_queue> mTasks;
  open_answers& mOpen;
  call_handler& mOnCall;
  deliver_handler& mOnDeliver;
};

} // namespace

class rpc_node::implementation
{
public:
  explicit implementation(rpc_options aOptions)
    : mOptions(aOptions)
    , mIncoming({ aOptions.mMaxIncoming,
                  aOptions.mMaxReceivingBytes,
                  aOptions.mMaxMessageBytes })
    , mTasks(std::make_shared<task_queue>())
    , mThread([this]() { Run(); })
  {
  }

  ~implementation() { Stop(); }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;
  implementation(implementation&&) = delete;
  implementation& operator=(implementation&&) = delete;

  result<std::uint16_t> Listen(const std::string& aAddress,
                               call_handler aOnCall,
                               deliver_handler aOnDeliver)
  {
    auto bound = std::make_shared<std::promise<result<std::uint16_t>>>();
    auto outcome = bound->get_future();
    mTasks->Post([this,
                  bound,
                  aAddress,
                  onCall = std::move(aOnCall),
                  onDeliver = std::move(aOnDeliver)]() mutable {
      mOnCall = std::move(onCall);
      mOnDeliver = std::move(onDeliver);
      bound->set_value(Bind(aAddress));
    });
    return outcome.get();
  }

  void Call(std::string aPeer,
            std::uint16_t aKind,
            bytes aBody,
            duration aTimeout,
            reply_function aReply)
  {
    mTasks->Post([this,
                  peer = std::move(aPeer),
                  aKind,
                  body = std::move(aBody),
                  aTimeout,
                  reply = std::move(aReply)]() mutable {
      const kj::TimePoint deadline =
        mIo->provider->getTimer().now() + aTimeout.count() * kj::NANOSECONDS;
      Link(peer).Call({ aKind, std::move(body), deadline, std::move(reply) });
    });
  }

  void Deliver(std::string aPeer, bytes aMessage)
  {
    mTasks->Post(
      [this, peer = std::move(aPeer), message = std::move(aMessage)]() mutable {
        Link(peer).Deliver(std::move(message));
      });
  }

  void Stop()
  {
    if (mThread.joinable()) {
      mTasks->Post([this]() { mStopping = true; });
      mThread.join();
    }
  }

private:
  peer_link& Link(const std::string& aPeer)
  {
    auto& link = mLinks[aPeer];
    if (!link) {
      link = std::make_unique<peer_link>(aPeer,
                                         mOptions,
                                         mIo->provider->getNetwork(),
                                         mIo->provider->getTimer(),
                                         mOptions.mSeed + mLinks.size());
    }
    return *link;
  }

  result<std::uint16_t> Bind(const std::string& aAddress)
  {
    try {
      auto address =
        mIo->provider->getNetwork().parseAddress(aAddress).wait(mIo->waitScope);
      mListener = address->listen();
      mServer = kj::heap<capnp::TwoPartyServer>(
        kj::heap<channel_server>(mTasks, mOpen, mOnCall, mOnDeliver));
      mAccepting = Accept().eagerlyEvaluate(nullptr);
      return static_cast<std::uint16_t>(mListener->getPort());
    } catch (const kj::Exception& problem) {
      return Fail(error{
        error_code::Io, "listen", aAddress, problem.getDescription().cStr() });
    }
  }

  // Goes on also after a failure: a process that is out of descriptors for a
  // moment must not be deaf from then on.
  kj::Promise<void> Accept()
  {
    return mListener->accept().then(
      [this](kj::Own<kj::AsyncIoStream> aStream) {
        mServer->accept(mIncoming.Add(kj::mv(aStream)));
        return Accept();
      },
      [this](kj::Exception&& /*aProblem*/) {
        return mIo->provider->getTimer()
          .afterDelay(kAcceptPause)
          .then([this]() { return Accept(); });
      });
  }

  void Run()
  {
    auto io = kj::setupAsyncIo();
    mIo = &io;
    auto wake = io.lowLevelProvider->wrapInputFd(mTasks->Descriptor());
    while (!mStopping) {
      std::uint64_t count = 0;
      wake->read(&count, sizeof count).wait(io.waitScope);
      for (const task_queue::task& task : mTasks->TakeAll()) {
        task();
      }
    }
    mTasks->Close();
    mLinks.clear();
    mAccepting = kj::Promise<void>(kj::READY_NOW);
    mServer = nullptr;
    mListener = nullptr;
    mOpen = {};
    mIo = nullptr;
  }

  rpc_options mOptions;
  incoming_connections mIncoming;
  // The loop's thread only.
  kj::AsyncIoContext* mIo = nullptr;
  bool mStopping = false;
  call_handler mOnCall;
  deliver_handler mOnDeliver;
  open_answers mOpen;
  std::map<std::string, std::unique_ptr<peer_link>> mLinks;
  kj::Own<kj::ConnectionReceiver> mListener;
  kj::Own<capnp::TwoPartyServer> mServer;
  kj::Promise<void> mAccepting = kj::READY_NOW;
  // Any thread.
  std::shared_ptr<task_queue> mTasks;
  std::thread mThread; // last, since it uses the other members
};

rpc_node::rpc_node(rpc_options aOptions)
  : mImplementation(std::make_unique<implementation>(aOptions))
{
}

rpc_node::~rpc_node() = default;

result<std::uint16_t>
rpc_node::Listen(const std::string& aAddress,
                 call_handler aOnCall,
                 deliver_handler aOnDeliver)
{
  return mImplementation->Listen(
    aAddress, std::move(aOnCall), std::move(aOnDeliver));
}

void
rpc_node::Call(std::string aPeer,
               std::uint16_t aKind,
               bytes aBody,
               duration aTimeout,
               reply_function aReply)
{
  mImplementation->Call(
    std::move(aPeer), aKind, std::move(aBody), aTimeout, std::move(aReply));
}

void
rpc_node::Deliver(std::string aPeer, bytes aMessage)
{
  mImplementation->Deliver(std::move(aPeer), std::move(aMessage));
}

void
rpc_node::Stop()
{
  mImplementation->Stop();
}

} // namespace oriolewalk::wire
