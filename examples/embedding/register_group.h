#pragma once

// A register that three nodes of one process keep in step, each with a data
// folder of its own.
//
//   register_group group("/var/lib/example/node-");
//   group.Write("blue");
//   group.Crash(group.Leader());
//   group.Read() == "blue"
//
// It is the shell that raft_node.h asks for: it carries the messages, stores
// before anything is promised, and passes the time in. Time is a value, so
// that nothing here has to wait. One thread. A failure ends the program.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <oriolewalk/consensus/raft_node.h>
#include <oriolewalk/storage/data_folder.h>

namespace example {

namespace consensus = oriolewalk::consensus;
namespace storage = oriolewalk::storage;
using consensus::node_id;

[[noreturn]] void
Stop(const std::string& aReason);

struct replica
{
  std::unique_ptr<storage::data_folder> mFolder;
  std::unique_ptr<consensus::raft_node> mNode; // None: it is down.
  std::string mValue;                          // The last command applied.
  consensus::log_position mApplied;
};

class register_group
{
public:
  explicit register_group(std::string aPath);

  // Also after a crash: what the node must not forget is in its folder.
  void Start(node_id aId);
  // Its memory is gone, its folder stays.
  void Crash(node_id aId);
  // The one node that may act for the group now; waits for an election.
  node_id Leader();
  // Returns once the value is committed: no crash of one node can lose it.
  void Write(const std::string& aValue);
  // At the leader, under its lease, a read is not stale.
  std::string Read();
  // What one node has applied so far; it may be behind.
  std::string ReadAt(node_id aId);
  // 10 ms go by; messages of the step before arrive.
  void Step();

private:
  void CarryOut(replica& aReplica);

  std::string mPath;
  storage::posix_file_system mFiles;
  consensus::raft_options mOptions;
  consensus::membership mFounders;
  std::map<node_id, replica> mReplicas;
  std::vector<consensus::message> mMessages;
  oriolewalk::time_point mNow{ oriolewalk::seconds(1) };
  std::uint64_t mSeed = 0;
};

} // namespace example
