#pragma once

// Sends to the first of several addresses that takes the request.
//
//   failover entries(client, {{"127.0.0.1", 8001}, {"127.0.0.1", 8002}});
//   entries.Send(request, {}, [](send_outcome aOutcome) {...});
//
// Only an address that provably did not get the request is passed over; an
// unknown outcome is handed back, since just the sender knows whether the
// request may be sent again.

#include <cstddef>
#include <vector>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

// Starts with the address that answered last. One thread (or strand), which
// must also be the one that runs the client's io_context. The client must
// outlive it, and it must outlive its requests.
class failover
{
public:
  failover(client& aClient, std::vector<settings::address> aAddresses);

  // Each address is tried once, with aOptions' time-outs for each.
  void Send(const request& aRequest,
            const send_options& aOptions,
            send_callback aDone);
  // The next Send starts one address further on: after an answer that says
  // that this one can't help now.
  void Skip() { ++mNext; }

private:
  void Try(std::size_t aTried,
           const request& aRequest,
           const send_options& aOptions,
           send_callback aDone);

  client& mClient;
  const std::vector<settings::address> mAddresses;
  std::size_t mNext = 0;
};

} // namespace oriolewalk::http
