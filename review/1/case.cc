// One of three entry hosts is cut from the store, the two others are killed and restarted, and a worker leaves meanwhile. Does any host
// send requests to that worker after DrainMs?
#include "rig.hpp"

using namespace rig;

namespace
{

constexpr double DrainS = 2.0;
constexpr double ContactS = 3.0;
constexpr double CutS = 5.5;
// The worker serves on for DrainMs and "a little longer (at times many seconds)".
constexpr double ServesOnS = DrainS + 10;

// Sends unsafe requests, whose ids begin with the name of the host, until `end`.
void press(const Host &host, double end, std::atomic<int> &unanswered)
{
    for (int number = 1; now() < end; ++number) {
        const Answer answer = call(host, "POST", "/book/slot", host.name + "-" + std::to_string(number), "press slot");
        unanswered += answer.status == 0 || answer.status == 502 ? 1 : 0;
        sleepFor(0.04);
    }
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    const std::string storeAt = loopback(200) + ":8744";
    const std::string linkAt = loopback(201) + ":8744";
    Store store(storeAt);
    store.put("op/config", deskConfiguration(1));
    Proxy link(linkAt, storeAt);
    const auto run = [](Connection &connection, const Request &request) {
        sleepFor(0.06);
        return answerSuccess(connection, request);
    };
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 1; number <= 3; ++number) {
        workers.push_back(std::make_unique<Worker>(store, "i-" + std::to_string(number), loopback(100 + number) + ":8080", "desk", "melnik", run));
        workers.back()->registerAs("ready");
    }
    Worker &leaving = *workers.front();
    const std::string seeds = loopback(1) + ":8745," + loopback(2) + ":8745," + loopback(3) + ":8745";
    Host a("front-a", loopback(1), "melnik", linkAt, seeds);
    Host b("front-b", loopback(2), "melnik", storeAt, seeds);
    Host c("front-c", loopback(3), "melnik", storeAt, seeds);
    for (Host *host : hosts) {
        host->start();
    }
    for (Host *host : hosts) {
        host->awaitReady();
    }
    sleepFor(4);

    const double cutAt = now();
    if (troubled()) {
        link.setCut(true);
        record.line("front-a is partitioned from the store");
        sleepFor(0.1);
        b.kill();
        c.kill();
    }
    sleepUntil(cutAt + 0.4);
    leaving.unregister();
    const double leftAt = now();
    sleepUntil(cutAt + 0.7);
    std::map<std::string, double> touchFrom{{"front-a", 0}, {"front-b", 0}, {"front-c", 0}};
    if (troubled()) {
        b.start();
        c.start();
        touchFrom["front-b"] = touchFrom["front-c"] = now() + ContactS;
        b.awaitReady();
        c.awaitReady();
    }
    sleepUntil(cutAt + CutS);
    if (troubled()) {
        link.setCut(false);
        record.line("the partition of front-a has healed");
        touchFrom["front-a"] = now() + ContactS;
    }
    sleepUntil(cutAt + 4);
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    for (const Host *host : hosts) {
        callers.emplace_back([host, &unanswered, &leftAt] { press(*host, leftAt + ServesOnS + 1, unanswered); });
    }
    sleepUntil(leftAt + ServesOnS);
    leaving.exit();
    for (std::thread &caller : callers) {
        caller.join();
    }

    std::map<std::string, int> late;
    for (const Arrival &arrival : Worker::arrivals.all()) {
        const std::string host = arrival.id.substr(0, 7);
        if (arrival.worker == leaving.id && arrival.at > leftAt + DrainS && arrival.at > touchFrom[host] + 0.1) {
            ++late[host];
        }
    }
    std::string text;
    int total = 0;
    for (const auto &[host, count] : late) {
        text += " " + host + " " + std::to_string(count);
        total += count;
    }
    record.line("requests that got no complete answer or 502: " + std::to_string(unanswered.load()));
    finish(total > 0 ? 1 : 0,
        total > 0
            ? "DRAIN broken: requests that reached the worker later than DrainMs after the store had acknowledged that it is gone, from hosts in touch:" + text
            : std::string("held: no host in touch sent to the worker that had left"));
}
