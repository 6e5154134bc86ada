// The part of `Scheduler` that places copies of prompts in stores and follows their links.

#include <algorithm>

#include "pimentosail/decision/scheduler.h"

namespace pimentosail
{

namespace
{

// Background copies wait at most this long before a new one is not worth its place in the queue.
constexpr Duration MaxExportWait = std::chrono::seconds(20);
// Smallest expected saving, in seconds of prefill, that pays for an export.
constexpr double MinExportGain = 0.02;
constexpr Duration UnknownStoreLife = std::chrono::hours(24 * 7);

} // namespace

// Adds an import to the link's wait until the next report shows it.
void Scheduler::noteImport(const RequestInfo &request, const Choice &choice)
{
    ++this->tally.imports;
    const Model *model = this->findModel(request.model);
    LinkState &link = this->links.at(static_cast<size_t>(choice.source.store)).at(static_cast<size_t>(choice.source.tier));
    const auto bytes = static_cast<double>(choice.source.tokens) * static_cast<double>(model == nullptr ? 0 : model->cacheBytesPerToken);
    link.wait += fromSeconds(bytes / link.bytesPerSecond);
}

void Scheduler::consider(const Running &finished, Time now, Commands &out)
{
    const RequestInfo &request = finished.request;
    const Model *model = this->findModel(request.model);
    if (model == nullptr || request.pieces.empty()) {
        return;
    }
    const int64_t tokens = static_cast<int64_t>(request.pieces.size()) * model->pieceTokens;
    PromptRecord &record = this->prompts.touch(request.promptKey);
    PromptTable::noteLocation(record, finished.choice.target, tokens, now);
    this->table.pieceUsed(finished.choice.target, request.pieces.back(), now);
    const Target &target = this->table.at(finished.choice.target);
    const bool copied = record.copy.store != NoStore && record.copy.tier == Tier::Memory && record.copy.tokens >= tokens;
    if (!this->options.exports || copied || record.copy.exporting || this->storeNames.empty() || target.description.remote) {
        return;
    }
    const double computeSeconds = static_cast<double>(tokens) / this->table.prefillRate(finished.choice.target);
    const auto bytes = static_cast<double>(tokens) * static_cast<double>(model->cacheBytesPerToken);
    const Duration targetLife = target.evictedBefore >= Time(0) ? now - target.evictedBefore : UnknownStoreLife;
    const size_t store = request.promptKey % this->storeNames.size();
    const LinkState &memory = this->links.at(store).at(static_cast<size_t>(Tier::Memory));
    if (!memory.usable || memory.wait > MaxExportWait) {
        return;
    }
    // A copy is worth the seconds of prefill that it saves if the prompt returns after the target has evicted it.
    const double returnsLater = this->copyValue(request.team, Duration(0), UnknownStoreLife, request.knownReturn)
        - this->copyValue(request.team, Duration(0), std::min(targetLife, UnknownStoreLife), request.knownReturn);
    const double importSeconds = bytes / memory.bytesPerSecond;
    const double gain = returnsLater * (computeSeconds - std::min(importSeconds, computeSeconds));
    if (this->options.valueExports && gain < MinExportGain * computeSeconds) {
        return;
    }
    ++this->tally.exports;
    // Copies enter the memory tier; the store's owner moves them to the disk tier when they give way to others.
    if (record.copy.store == NoStore) {
        record.copy = {static_cast<StoreIndex>(store), Tier::Memory, static_cast<int32_t>(tokens), false};
    }
    record.copy.exporting = true;
    out.push_back(
        Export{request.promptKey, request.team, finished.choice.target, static_cast<StoreIndex>(store), Tier::Memory, request.pieces, tokens, gain / bytes});
}

double Scheduler::copyValue(const std::string &team, Duration age, Duration horizon, std::optional<Duration> knownReturn) const
{
    if (knownReturn) {
        return *knownReturn >= age && *knownReturn <= age + horizon ? 1.0 : 0.0;
    }
    return this->returns.returnProbability(team, age, horizon);
}

void Scheduler::on(const StoreCopyChanged &event, Time /*now*/, Commands & /*out*/)
{
    PromptRecord *record = this->prompts.find(event.promptKey);
    if (record == nullptr) {
        return;
    }
    if (event.tokens <= 0) {
        // A failed copy to the memory tier leaves one in the disk tier as it was.
        const bool wasIt = record->copy.tier == event.tier;
        record->copy = wasIt ? StoreCopy() : record->copy;
        record->copy.exporting = false;
        return;
    }
    record->copy = {event.store, event.tier, static_cast<int32_t>(event.tokens), false};
}

void Scheduler::on(const LinkReported &event, Time /*now*/, Commands & /*out*/)
{
    this->links.at(static_cast<size_t>(event.store)).at(static_cast<size_t>(event.tier)) = {event.usable, event.wait, event.bytesPerSecond, event.evictionAge};
}

} // namespace pimentosail
