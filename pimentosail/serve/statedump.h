// Prints the state of the process for operators: every table, why each target is usable or not, and the recent
// decisions with their predicted and real first-token times.
//
//     Json::Value state = dumpProcess(context, ready);
//
// Thread-safe.
#pragma once

#include <json/value.h>

#include "pimentosail/serve/context.h"

namespace pimentosail
{

// Returns everything.
Json::Value dumpProcess(Context &context, bool ready);

// Returns the few lines that `pimentosail status` shows for a host.
Json::Value dumpStatus(Context &context, bool ready);

} // namespace pimentosail
