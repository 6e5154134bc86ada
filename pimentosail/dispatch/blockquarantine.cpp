#include "pimentosail/dispatch/blockquarantine.h"

#include <algorithm>
#include <utility>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Number of incarnations that must end under a block before requests with it are not retried, and are refused.
constexpr size_t SuspectingLosses = 2;
constexpr size_t BlockingLosses = 3;
// One request and its retries are judged by their fingerprint (`Quarantine`).
constexpr size_t BlockingRequests = 2;
// Maximum number of losses that a host keeps and publishes. The crash of a busy target produces one for each block that
// was in flight there and has never been answered.
constexpr size_t MaxOwnLosses = 256;
constexpr size_t MaxPublishedAnswered = 256;
// Number of answered blocks that are remembered for certain; up to twice as many are.
constexpr size_t MaxAnswered = 16384;

bool containsAll(const std::vector<std::string> &blocks, const std::vector<std::string> &wanted)
{
    return std::all_of(
        wanted.begin(), wanted.end(), [&blocks](const std::string &block) { return std::find(blocks.begin(), blocks.end(), block) != blocks.end(); });
}

} // namespace

bool BlockQuarantine::isAnswered(const std::string &block) const
{
    const uint64_t hash = stableHash(block);
    return this->recentAnswered.contains(hash) || this->olderAnswered.contains(hash);
}

void BlockQuarantine::markAnswered(const std::string &block)
{
    if (this->recentAnswered.size() >= MaxAnswered) {
        this->olderAnswered = std::move(this->recentAnswered);
        this->recentAnswered.clear();
    }
    this->recentAnswered.insert(stableHash(block));
}

// Evicts the oldest block that is neither the newest nor under suspicion by the evidence of all hosts, so that losses of
// requests that only happened to run on the same targets displace no evidence against a deadly block.
void BlockQuarantine::dropOldestLosses()
{
    std::set<std::string> suspected;
    for (const SuspectedBlocks &suspects : this->evaluated) {
        suspected.insert(suspects.blocks.begin(), suspects.blocks.end());
    }
    auto oldest = this->ownLosses.end();
    for (auto entry = this->ownLosses.begin(); entry != this->ownLosses.end(); ++entry) {
        const bool mayEvict = entry->second.order != this->lossOrder && !suspected.contains(entry->first);
        if (mayEvict && (oldest == this->ownLosses.end() || entry->second.order < oldest->second.order)) {
            oldest = entry;
        }
    }
    if (oldest == this->ownLosses.end()) {
        oldest = std::min_element(this->ownLosses.begin(), this->ownLosses.end(), [](const auto &a, const auto &b) { return a.second.order < b.second.order; });
    }
    this->eraseOwnLosses(oldest);
}

void BlockQuarantine::eraseOwnLosses(std::map<std::string, OwnEvidence>::iterator entry)
{
    this->ownLossCount -= entry->second.losses.size();
    this->ownLosses.erase(entry);
}

bool BlockQuarantine::addOwnLoss(const BlockLoss &loss)
{
    if (this->isAnswered(loss.block)) {
        return false;
    }
    const auto [entry, isNew] = this->ownLosses.try_emplace(loss.block);
    if (isNew) {
        entry->second.order = ++this->lossOrder;
    }
    std::vector<BlockLoss> &losses = entry->second.losses;
    const auto isSameIncarnation = [&loss](const BlockLoss &known) {
        return known.incarnation == loss.incarnation;
    };
    const bool isKnown = std::any_of(
        losses.begin(), losses.end(), [&loss](const BlockLoss &known) { return known.incarnation == loss.incarnation && known.request == loss.request; });
    // More requests on the same incarnation are no more evidence.
    if (isKnown || static_cast<size_t>(std::count_if(losses.begin(), losses.end(), isSameIncarnation)) >= BlockingRequests) {
        return false;
    }
    losses.push_back(loss);
    ++this->ownLossCount;
    return true;
}

void BlockQuarantine::recordLoss(const std::vector<std::string> &blocks, const std::string &incarnation, uint64_t request)
{
    const std::lock_guard lock(this->mutex);
    bool isChanged = false;
    for (const std::string &block : blocks) {
        isChanged = this->addOwnLoss({block, incarnation, request}) || isChanged;
    }
    while (this->ownLossCount > MaxOwnLosses) {
        this->dropOldestLosses();
    }
    if (isChanged) {
        ++this->changes;
        this->evaluate();
    }
}

void BlockQuarantine::publishAnswered(const std::string &block)
{
    if (std::find(this->publishedAnswered.begin(), this->publishedAnswered.end(), block) != this->publishedAnswered.end()) {
        return;
    }
    if (this->publishedAnswered.size() >= MaxPublishedAnswered) {
        this->publishedAnswered.erase(this->publishedAnswered.begin());
    }
    this->publishedAnswered.push_back(block);
    ++this->changes;
}

void BlockQuarantine::recordAnswer(const std::vector<std::string> &blocks)
{
    const std::lock_guard lock(this->mutex);
    bool isChanged = false;
    for (const std::string &block : blocks) {
        this->markAnswered(block);
        const auto own = this->ownLosses.find(block);
        if (own != this->ownLosses.end()) {
            this->eraseOwnLosses(own);
            this->publishAnswered(block);
            isChanged = true;
        }
        // Hosts on which the block was not answered yet learn that it is sound.
        if (this->lostElsewhere.erase(block) > 0) {
            this->publishAnswered(block);
            isChanged = true;
        }
    }
    if (isChanged) {
        this->evaluate();
    }
}

void BlockQuarantine::replaceFindings(std::map<std::string, BlockFindings> changed)
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> changedHosts;
    for (auto &[host, findings] : changed) {
        changedHosts.insert(host);
        // Kept here too, since the other host's list is bounded. Once no host has losses of a block, none publishes it again.
        for (const std::string &block : findings.answered) {
            this->markAnswered(block);
            const auto own = this->ownLosses.find(block);
            if (own != this->ownLosses.end()) {
                this->eraseOwnLosses(own);
                ++this->changes;
            }
        }
        if (findings.losses.empty() && findings.answered.empty()) {
            this->otherFindings.erase(host);
        } else {
            this->otherFindings[host] = std::move(findings);
        }
    }
    this->lostElsewhere.clear();
    for (const auto &[name, other] : this->otherFindings) {
        for (const BlockLoss &loss : other.losses) {
            if (!this->isAnswered(loss.block)) {
                this->lostElsewhere.insert(loss.block);
            } else if (changedHosts.contains(name)) {
                this->publishAnswered(loss.block);
            }
        }
    }
    this->evaluate();
}

void BlockQuarantine::restore(const BlockFindings &findings)
{
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->isRestored, true)) {
        return;
    }
    for (const std::string &block : findings.answered) {
        this->markAnswered(block);
        this->publishAnswered(block);
    }
    for (const BlockLoss &loss : findings.losses) {
        this->addOwnLoss(loss);
    }
    while (this->ownLossCount > MaxOwnLosses) {
        this->dropOldestLosses();
    }
    this->evaluate();
}

BlockFindings BlockQuarantine::ownFindings() const
{
    const std::lock_guard lock(this->mutex);
    BlockFindings findings;
    for (const auto &[block, own] : this->ownLosses) {
        findings.losses.insert(findings.losses.end(), own.losses.begin(), own.losses.end());
    }
    findings.answered = this->publishedAnswered;
    return findings;
}

uint64_t BlockQuarantine::changeCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->changes;
}

std::map<std::string, BlockQuarantine::Evidence> BlockQuarantine::unresolvedEvidence() const
{
    std::map<std::string, Evidence> evidence;
    const auto add = [this, &evidence](const BlockLoss &loss) {
        if (!this->isAnswered(loss.block)) {
            Evidence &entry = evidence[loss.block];
            entry.incarnations.insert(loss.incarnation);
            entry.requests.insert(loss.request);
        }
    };
    for (const auto &[block, own] : this->ownLosses) {
        std::for_each(own.losses.begin(), own.losses.end(), add);
    }
    for (const auto &[host, findings] : this->otherFindings) {
        std::for_each(findings.losses.begin(), findings.losses.end(), add);
    }
    std::erase_if(evidence, [](const auto &entry) { return entry.second.incarnations.size() < SuspectingLosses; });
    return evidence;
}

void BlockQuarantine::evaluate()
{
    std::map<std::string, Evidence> evidence = this->unresolvedEvidence();
    std::vector<SuspectedBlocks> result;
    while (!evidence.empty()) {
        const auto strongest = std::max_element(
            evidence.begin(), evidence.end(), [](const auto &a, const auto &b) { return a.second.incarnations.size() < b.second.incarnations.size(); });
        const std::set<std::string> explained = strongest->second.incarnations;
        SuspectedBlocks suspected;
        suspected.incarnations.assign(explained.begin(), explained.end());
        suspected.requests = strongest->second.requests.size();
        for (auto &[block, entry] : evidence) {
            if (entry.incarnations == explained) {
                suspected.blocks.push_back(block);
                suspected.requests = std::min(suspected.requests, entry.requests.size());
            }
            std::erase_if(entry.incarnations, [&explained](const std::string &incarnation) { return explained.contains(incarnation); });
        }
        suspected.isBlocked = explained.size() >= BlockingLosses && suspected.requests >= BlockingRequests;
        result.push_back(std::move(suspected));
        std::erase_if(evidence, [](const auto &entry) { return entry.second.incarnations.size() < SuspectingLosses; });
    }
    const std::lock_guard lock(this->evaluatedMutex);
    this->evaluated = std::move(result);
}

bool BlockQuarantine::isBlocked(const std::vector<std::string> &blocks) const
{
    const std::lock_guard lock(this->evaluatedMutex);
    return std::any_of(this->evaluated.begin(), this->evaluated.end(),
        [&blocks](const SuspectedBlocks &suspected) { return suspected.isBlocked && containsAll(blocks, suspected.blocks); });
}

bool BlockQuarantine::isSuspected(const std::vector<std::string> &blocks) const
{
    const std::lock_guard lock(this->evaluatedMutex);
    return std::any_of(
        this->evaluated.begin(), this->evaluated.end(), [&blocks](const SuspectedBlocks &suspected) { return containsAll(blocks, suspected.blocks); });
}

std::vector<SuspectedBlocks> BlockQuarantine::suspects() const
{
    const std::lock_guard lock(this->evaluatedMutex);
    return this->evaluated;
}

} // namespace pimentosail
