// A flag that is set once and also ends waits in `poll`.
//
//     Interrupt interrupt;
//     poll({interrupt.descriptor(), POLLIN, 0}, ...);   // returns once another thread has called `set`
//
// Thread-safe.
#pragma once

#include <array>
#include <atomic>

namespace pimentosail
{

class Interrupt
{
public:
    // Throws `Failure` (Internal) if no pipe can be created.
    Interrupt();
    ~Interrupt();
    Interrupt(const Interrupt &) = delete;
    Interrupt &operator=(const Interrupt &) = delete;

    void set();

    bool isSet() const
    {
        return this->flag.load();
    }

    // Returns a descriptor that is readable once the flag is set.
    int descriptor() const
    {
        return this->ends[0];
    }

private:
    std::atomic<bool> flag{false};
    // A pipe, whose closed writing end makes the reading end readable for good.
    std::array<int, 2> ends{-1, -1};
};

} // namespace pimentosail
