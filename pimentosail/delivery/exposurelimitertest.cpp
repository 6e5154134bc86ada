#include <criterion/criterion.h>

#include <atomic>
#include <cstdio>
#include <random>
#include <thread>
#include <vector>

#include "pimentosail/delivery/exposurelimiter.h"

using namespace pimentosail;

// Failure: rounding up on each host, which with 75 hosts multiplies a small share.
Test(exposurelimiter, the_share_is_rounded_down_on_each_host)
{
    for (const size_t hosts : {1, 3, 12, 75}) {
        std::vector<ExposureLimiter> limiters(hosts);
        for (ExposureLimiter &limiter : limiters) {
            limiter.setShare("chat", 0.018);
        }
        std::mt19937_64 random(7);
        int sent = 0;
        constexpr int Requests = 4000;
        for (int request = 1; request <= Requests; ++request) {
            sent += limiters[random() % hosts].mayUseNewVersion("chat") ? 1 : 0;
            cr_assert_leq(sent, 0.018 * request + 1e-9);
        }
        std::printf("%zu hosts: sent %d, allowed %.0f\n", hosts, sent, 0.018 * Requests);
        cr_assert_geq(sent, 0.018 * Requests - static_cast<double>(hosts));
    }
}

// Failure: a reduced share takes effect only after what was saved up is used.
Test(exposurelimiter, a_smaller_share_applies_at_once)
{
    ExposureLimiter limiter;
    cr_assert_not(limiter.mayUseNewVersion("chat"), "nothing is allowed without a share");
    limiter.setShare("chat", 0.9);
    cr_assert_not(limiter.mayUseNewVersion("chat"));
    limiter.setShare("chat", 0);
    for (int request = 0; request < 100; ++request) {
        cr_assert_not(limiter.mayUseNewVersion("chat"));
    }
    limiter.giveBack("chat");
    cr_assert_not(limiter.mayUseNewVersion("chat"), "a late return adds nothing to a share of 0");
    limiter.setShare("chat", 0.5);
    cr_assert_not(limiter.mayUseNewVersion("chat"));
    cr_assert(limiter.mayUseNewVersion("chat"));
}

// Failure: what could not be sent for a while is sent all at once, or a retry is sent beside the share.
Test(exposurelimiter, returned_requests_are_saved_up_to_a_bound_and_retries_count)
{
    ExposureLimiter limiter;
    limiter.setShare("chat", 0.1);
    for (int request = 0; request < 1000; ++request) {
        if (limiter.mayUseNewVersion("chat")) {
            limiter.giveBack("chat");
        }
    }
    int retries = 0;
    while (limiter.mayRetryOnNewVersion("chat")) {
        ++retries;
    }
    cr_assert_leq(retries, 2);
    cr_assert_not(limiter.mayRetryOnNewVersion("other"));
    limiter.remove("chat");
    cr_assert_not(limiter.mayUseNewVersion("chat"));
}

// Failure: request threads that ask at the same time get more than the share.
Test(exposurelimiter, threads_together_keep_to_the_share)
{
    ExposureLimiter limiter;
    limiter.setShare("chat", 0.01);
    std::atomic<int> sent{0};
    constexpr int Threads = 4;
    std::vector<std::jthread> threads;
    threads.reserve(Threads);
    for (int index = 0; index < Threads; ++index) {
        threads.emplace_back([&] {
            for (int request = 0; request < 10'000; ++request) {
                sent += limiter.mayUseNewVersion("chat") ? 1 : 0;
            }
        });
    }
    threads.clear();
    cr_assert_leq(sent.load(), 400);
    cr_assert_geq(sent.load(), 399);
}
