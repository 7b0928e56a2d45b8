#include "oriolewalk/http/failover.h"

#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

failover::failover(client& aClient, std::vector<settings::address> aAddresses)
  : mClient(aClient)
  , mAddresses(std::move(aAddresses))
{
}

void
failover::Send(const request& aRequest,
               const send_options& aOptions,
               send_callback aDone)
{
  Try(1, aRequest, aOptions, std::move(aDone));
}

void
failover::Try(std::size_t aTried,
              const request& aRequest,
              const send_options& aOptions,
              send_callback aDone)
{
  const settings::address& to = mAddresses[mNext % mAddresses.size()];
  mClient.Send(to,
               aRequest,
               aOptions,
               [this, aTried, aRequest, aOptions, done = std::move(aDone)](
                 send_outcome aOutcome) {
                 if (!std::holds_alternative<answered>(aOutcome)) {
                   Skip();
                 }
                 if (std::holds_alternative<never_started>(aOutcome) &&
                     aTried < mAddresses.size()) {
                   Try(aTried + 1, aRequest, aOptions, done);
                   return;
                 }
                 done(std::move(aOutcome));
               });
}

} // namespace oriolewalk::http
