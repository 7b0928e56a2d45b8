@0xb6d3f0a1c2e49587;
# Between the processes of oriolewalk. Bodies are records of
# oriolewalk/protocol and oriolewalk/consensus, encoded by base/codec.h.
# Make again: capnp compile -o c++:generated wire.capnp

interface Channel {
  # One request, one answer. `kind` is the caller's; `code` is 0 for success,
  # else 1 + error_code, and `body` then has the message.
  call @0 (kind :UInt16, body :Data) -> (code :UInt16, body :Data);

  # Messages without an answer (replication); lost ones are sent again by the
  # protocol above.
  deliver @1 (messages :List(Data)) -> ();
}
