#pragma once

// Hands work from any thread to a kj event loop. kj::Executor can't serve
// here: it either blocks the sender or asks that the sender runs a kj loop.
// An eventfd wakes the loop; one wake-up takes all that has come since.

#include <functional>
#include <mutex>
#include <vector>

namespace oriolewalk::wire {

class mailbox
{
public:
  using task = std::function<void()>;

  mailbox();
  ~mailbox();
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;
  mailbox(mailbox&&) = delete;
  mailbox& operator=(mailbox&&) = delete;

  // Any thread. After Close() tasks are dropped.
  void Post(task aTask);
  // The loop's thread, after the descriptor became readable.
  std::vector<task> Take();
  void Close();
  // The eventfd to read 8 bytes from before each Take().
  [[nodiscard]] int Descriptor() const { return mDescriptor; }

private:
  int mDescriptor;
  std::mutex mMutex;
  std::vector<task> mTasks;
  bool mClosed = false;
};

} // namespace oriolewalk::wire
