// What the kernel knows of a connected TCP socket: whether its peer has left, and how long received bytes have waited.
//
//     if (isPeerClosed(exchange.callerSocket())) { stop working for the caller }
//     const Duration waited = timeSinceReceived(exchange.callerSocket());
//
// Neither function waits. Thread-safe.
#pragma once

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Returns true if the peer of `descriptor` has closed or reset the connection, also behind bytes that were not read yet. A
// peer that has only closed its sending direction counts as gone. Returns false if `descriptor` is negative.
bool isPeerClosed(int descriptor);

// Returns the time since bytes were last received on `descriptor`, in whole milliseconds. Zero if the kernel does not tell.
Duration timeSinceReceived(int descriptor);

} // namespace pimentosail
