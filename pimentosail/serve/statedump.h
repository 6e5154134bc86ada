// Returns the state of the process as JSON for operators: every table, why each target is usable or not, and the recent
// decisions with their predicted and actual first-token times.
//
//     Json::Value state = dumpProcess(context, ready);
//
// Thread-safe.
#pragma once

#include <json/value.h>

#include "pimentosail/serve/context.h"

namespace pimentosail
{

// Returns the complete state of this process. Parts that the decision thread does not provide in time are null.
Json::Value dumpProcess(Context &context, bool ready);

// Returns the summary that `pimentosail status` shows for a host.
Json::Value dumpStatus(Context &context, bool ready);

} // namespace pimentosail
