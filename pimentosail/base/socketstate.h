// What the kernel knows of a connected TCP socket: whether its peer has left, how long received bytes have waited, and whether sent bytes wait for the peer.
//
//     if (isPeerClosed(exchange.callerSocket())) { stop working for the caller }
//     const Duration waited = timeSinceReceived(exchange.callerSocket());
//
// No function waits. Thread-safe.
#pragma once

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Returns true if the peer of `descriptor` has closed or reset the connection, also behind bytes that were not read yet. A
// peer that has only closed its sending direction counts as gone. Returns false if `descriptor` is negative.
bool isPeerClosed(int descriptor);

// Returns the time since bytes were last received on `descriptor`, in whole milliseconds. Zero if the kernel does not tell.
Duration timeSinceReceived(int descriptor);

// Returns true if the kernel holds bytes that it cannot transmit yet, for example because the peer does not read. Returns false if the kernel
// does not tell.
bool hasUnsentBytes(int descriptor);

} // namespace pimentosail
