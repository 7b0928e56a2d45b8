// Shows that a value survives the crash of the leader that took it, and that a
// node which was down learns what it missed.
//
//   replicated_register FOLDER    (an empty one)

#include <cstdlib>
#include <iostream>
#include <string>

#include "register_group.h"

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    example::Stop("usage: replicated_register FOLDER");
  }
  example::register_group group(std::string(aArguments[1]) + "/node-");

  group.Write("blue");
  const auto first = group.Leader();
  std::cout << "written: " << group.Read() << '\n';

  group.Crash(first);
  const auto second = group.Leader();
  std::cout << "another node leads: " << (second != first ? "yes" : "no")
            << '\n';
  std::cout << "after the crash of the leader: " << group.Read() << '\n';

  group.Write("green");
  group.Start(first);
  // Two heartbeats are 100 ms; a second is plenty to catch up.
  for (int step = 0; step < 100; ++step) {
    group.Step();
  }
  std::cout << "at the node that came back: " << group.ReadAt(first) << '\n';
  return EXIT_SUCCESS;
}
