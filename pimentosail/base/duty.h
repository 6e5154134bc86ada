// A thread that runs one duty (a long-running task of the process) until the duty returns.
//
//     DutyThread thread("membership", [this] { this->run(); });
//     thread.start();
//     thread.join();   // after the duty was asked to stop
//
// `start` and `join` belong to one thread. The destructor joins.
#pragma once

#include <functional>
#include <string>
#include <thread>

namespace pimentosail
{

class DutyThread
{
public:
    // Creates the object without a thread; `start` runs the duty.
    DutyThread(std::string dutyName, std::function<void()> dutyBody)
        : name(std::move(dutyName))
        , body(std::move(dutyBody))
    {
    }
    ~DutyThread()
    {
        this->join();
    }
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    void start()
    {
        this->thread = std::thread(this->body);
    }

    void join()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

private:
    std::string name;
    std::function<void()> body;
    std::thread thread;
};

} // namespace pimentosail
