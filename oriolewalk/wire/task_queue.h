#pragma once

// Passes tasks from any thread to a kj event loop.
//
//   queue.Post([]() { ... });                          // any thread
//   for (const auto& task : queue.TakeAll()) { task(); } // the loop's thread
//
// kj::Executor is unsuitable: it either blocks the sender or requires the
// sender to run a kj loop. An eventfd wakes the loop, once for all tasks that
// are posted before it takes them. Owned by rpc_node.

#include <functional>
#include <mutex>
#include <vector>

namespace oriolewalk::wire {

class task_queue
{
public:
  using task = std::function<void()>;

  task_queue();
  ~task_queue();
  task_queue(const task_queue&) = delete;
  task_queue& operator=(const task_queue&) = delete;
  task_queue(task_queue&&) = delete;
  task_queue& operator=(task_queue&&) = delete;

  // Any thread. Drops the task after Close().
  void Post(task aTask);
  // The loop's thread, after the descriptor has become readable.
  std::vector<task> TakeAll();
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
