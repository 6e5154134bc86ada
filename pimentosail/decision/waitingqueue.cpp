#include "pimentosail/decision/waitingqueue.h"

#include <algorithm>

namespace pimentosail
{

bool WaitingQueue::Key::operator<(const Key &other) const
{
    if (this->level != other.level) {
        return this->level > other.level;
    }
    return this->deadline != other.deadline ? this->deadline < other.deadline : this->id < other.id;
}

WaitingQueue::Key WaitingQueue::keyOf(const Entry &entry)
{
    return {static_cast<int>(entry.priority), entry.request.firstTokenDeadline, entry.request.id};
}

int64_t &WaitingQueue::countOf(const Entry &entry)
{
    return this->counts[entry.request.model].at(static_cast<size_t>(entry.priority));
}

void WaitingQueue::add(const RequestInfo &request, Priority priority)
{
    this->remove(request.id);
    const Time expiry = request.resumed ? request.finishDeadline : std::min(request.firstTokenDeadline, request.finishDeadline);
    const Entry &entry = this->entries.emplace(request.id, Entry{request, priority, expiry}).first->second;
    this->order.insert(keyOf(entry));
    this->expiries.emplace(expiry, request.id);
    ++this->countOf(entry);
}

void WaitingQueue::remove(RequestId id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    this->order.erase(keyOf(found->second));
    this->expiries.erase({found->second.expiry, id});
    --this->countOf(found->second);
    this->entries.erase(found);
}

void WaitingQueue::setPriority(RequestId id, Priority priority)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.priority == priority) {
        return;
    }
    this->order.erase(keyOf(found->second));
    --this->countOf(found->second);
    found->second.priority = priority;
    this->order.insert(keyOf(found->second));
    ++this->countOf(found->second);
}

std::vector<RequestId> WaitingQueue::first(size_t count) const
{
    std::vector<RequestId> result;
    result.reserve(std::min(count, this->order.size()));
    for (auto key = this->order.begin(); key != this->order.end() && result.size() < count; ++key) {
        result.push_back(key->id);
    }
    return result;
}

std::vector<RequestId> WaitingQueue::expired(Time now) const
{
    std::vector<RequestId> result;
    for (auto expiry = this->expiries.begin(); expiry != this->expiries.end() && expiry->first <= now; ++expiry) {
        result.push_back(expiry->second);
    }
    return result;
}

int64_t WaitingQueue::countAtLeast(const std::string &model, Priority priority) const
{
    const auto found = this->counts.find(model);
    int64_t total = 0;
    for (size_t level = static_cast<size_t>(priority); found != this->counts.end() && level < found->second.size(); ++level) {
        total += found->second.at(level);
    }
    return total;
}

std::vector<RequestId> WaitingQueue::batch() const
{
    std::vector<RequestId> result;
    for (auto key = this->order.rbegin(); key != this->order.rend() && key->level == static_cast<int>(Priority::Batch); ++key) {
        result.push_back(key->id);
    }
    return result;
}

} // namespace pimentosail
