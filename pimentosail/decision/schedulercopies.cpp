// The part of `Scheduler` that exports prompts to cache stores and tracks their copies and links.

#include <algorithm>

#include "pimentosail/decision/scheduler.h"

namespace pimentosail
{

namespace
{

// No export starts while a new transfer would wait longer than this on the store's link.
constexpr Duration MaxExportWait = std::chrono::seconds(20);
// Smallest expected saving that justifies an export, as a fraction of the prompt's prefill time.
constexpr double MinExportGainFraction = 0.02;
// Retention assumed for a target that has evicted nothing yet; also the longest return gap that counts.
constexpr Duration MaxRetention = std::chrono::hours(24 * 7);

} // namespace

// Adds the time of an import to the link's wait, until the next report of the link includes it.
void Scheduler::recordImport(const RequestInfo &request, const PlacementChoice &choice)
{
    ++this->counters.imports;
    const Model *model = this->findModel(request.model);
    LinkState &link = this->links.at(static_cast<size_t>(choice.source.store)).at(static_cast<size_t>(choice.source.tier));
    const auto bytes = static_cast<double>(choice.source.tokens) * static_cast<double>(model == nullptr ? 0 : model->cacheBytesPerToken);
    link.wait += fromSeconds(bytes / link.bytesPerSecond);
}

void Scheduler::recordAndExport(const RunningRequest &finished, Time now, Commands &out)
{
    const RequestInfo &request = finished.request;
    const Model *model = this->findModel(request.model);
    if (model == nullptr || request.blocks.empty()) {
        return;
    }
    const int64_t tokens = static_cast<int64_t>(request.blocks.size()) * model->blockTokens;
    PromptRecord &record = this->prompts.touch(request.promptKey);
    PromptTable::recordLocation(record, finished.choice.target, tokens, now);
    this->table.recordBlockUse(finished.choice.target, request.blocks.back(), now);
    const Target &target = this->table.at(finished.choice.target);
    const bool alreadyStored = record.copy.store != NoStore && record.copy.tier == Tier::Memory && record.copy.tokens >= tokens;
    if (!this->options.exports || alreadyStored || record.copy.exporting || this->storeNames.empty() || target.description.remote) {
        return;
    }
    const double computeSeconds = static_cast<double>(tokens) / this->table.prefillRate(finished.choice.target);
    const auto bytes = static_cast<double>(tokens) * static_cast<double>(model->cacheBytesPerToken);
    const Duration targetRetention = target.evictedBefore >= Time(0) ? now - target.evictedBefore : MaxRetention;
    const size_t store = request.promptKey % this->storeNames.size();
    const LinkState &memory = this->links.at(store).at(static_cast<size_t>(Tier::Memory));
    if (!memory.usable || memory.wait > MaxExportWait) {
        return;
    }
    // A copy saves prefill time only if the prompt returns after the target has evicted it.
    const double returnsLater = this->returnProbability(request.team, Duration(0), MaxRetention, request.knownReturn)
        - this->returnProbability(request.team, Duration(0), std::min(targetRetention, MaxRetention), request.knownReturn);
    const double importSeconds = bytes / memory.bytesPerSecond;
    const double gain = returnsLater * (computeSeconds - std::min(importSeconds, computeSeconds));
    if (this->options.valueExports && gain < MinExportGainFraction * computeSeconds) {
        return;
    }
    ++this->counters.exports;
    // Copies are written to the memory tier; the store's owner demotes them to the disk tier when others displace them.
    if (record.copy.store == NoStore) {
        record.copy = {static_cast<StoreIndex>(store), Tier::Memory, static_cast<int32_t>(tokens), false};
    }
    record.copy.exporting = true;
    out.push_back(
        Export{request.promptKey, request.team, finished.choice.target, static_cast<StoreIndex>(store), Tier::Memory, request.blocks, tokens, gain / bytes});
}

double Scheduler::returnProbability(const std::string &team, Duration age, Duration horizon, std::optional<Duration> knownReturn) const
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
        // A failed export to the memory tier leaves a copy in the disk tier unchanged.
        const bool isRecordedCopy = record->copy.tier == event.tier;
        record->copy = isRecordedCopy ? StoreCopy() : record->copy;
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
