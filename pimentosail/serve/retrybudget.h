// Limits the retries of a host to a fraction of its requests, so that failures do not multiply the load. Each request
// adds a fifth of a retry to the budget; a new budget is full.
//
//     budget.onRequest();
//     if (budget.tryRetry()) { ... }
//     Duration pause = retryDelay(attempt, random);
//
// Thread-safe.
#pragma once

#include <algorithm>
#include <mutex>
#include <random>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class RetryBudget
{
public:
    // Adds the credit of one request.
    void onRequest()
    {
        const std::lock_guard lock(this->mutex);
        this->credit = std::min(this->credit + CreditPerRequest, MaxCredit);
    }

    // Consumes the credit of one retry. Returns false if less than that is left.
    bool tryRetry()
    {
        const std::lock_guard lock(this->mutex);
        if (this->credit < 1) {
            return false;
        }
        this->credit -= 1;
        return true;
    }

private:
    // In retries.
    static constexpr double CreditPerRequest = 0.2;
    static constexpr double MaxCredit = 200;

    std::mutex mutex;
    double credit = MaxCredit;
};

// Returns the delay before retry number `attempt` (from 1): exponential with full jitter.
inline Duration retryDelay(int attempt, std::mt19937_64 &random)
{
    constexpr Duration BaseDelay = Milliseconds(10);
    constexpr Duration MaxDelay = Milliseconds(500);
    const Duration ceiling = std::min(BaseDelay * (1 << std::min(attempt, 10)), MaxDelay);
    return Duration(std::uniform_int_distribution<int64_t>(0, ceiling.count())(random));
}

} // namespace pimentosail
