// A thread that performs one duty of the process until it is stopped.
//
//     DutyThread thread("membership", [this] { this->run(); });
//     thread.start();
//     thread.join();   // after the duty has been told to end
#pragma once

#include <functional>
#include <string>
#include <thread>

namespace pimentosail
{

class DutyThread
{
public:
    // Prepares the duty; nothing runs before `start`.
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
