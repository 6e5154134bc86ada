// Blocks requests whose prompt contains a block that ends each target which begins to answer it. No two of these requests
// need be alike, so the evidence is kept for each prompt block and not for each request.
//
//     quarantine.recordLoss(blocks, targetIncarnation, requestFingerprint);   // the target ended before its first event
//     quarantine.recordAnswer(blocks);                                        // the first event of an answer arrived
//     if (quarantine.isBlocked(blocks)) { refuse }
//
// `blocks` are the ids of the prompt's blocks but the last, which belongs to the request or its session. Call `recordLoss`
// only after the target is found to be unreachable.
//
// A block that once let an answer begin is sound on all hosts and is never blocked. Among the other blocks, the one under
// which most incarnations ended explains these incarnations, and the next is judged by the rest. A block is blocked if at
// least three incarnations ended under it, in at least two requests, that no other block explains. Blocks that cannot be
// told apart, because the same incarnations ended under them, are refused only together.
//
// Each host publishes its findings and replaces its view of another host's findings as a whole. Evidence against a suspected
// block does not expire: a block that was tried again after some time would end more targets. A sound block that only ever ran on targets which
// ended for other reasons stays blocked too. A block that begins to end targets after it was answered is not detected.
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace pimentosail
{

// A target's incarnation that ended under a request with the block, before the first event of the answer.
struct BlockLoss
{
    std::string block;
    std::string incarnation;
    uint64_t request = 0;
};

// What one host publishes: its losses, and the blocks with losses of any host that let an answer begin here.
struct BlockFindings
{
    std::vector<BlockLoss> losses;
    std::vector<std::string> answered;
};

// Blocks under which the same incarnations ended. `isBlocked`: requests with all of these blocks are refused.
struct SuspectedBlocks
{
    std::vector<std::string> blocks;
    std::vector<std::string> incarnations;
    size_t requests = 0;
    bool isBlocked = false;
};

class BlockQuarantine
{
public:
    // Records that `incarnation` ended under a request with `blocks` before the first event of its answer.
    void recordLoss(const std::vector<std::string> &blocks, const std::string &incarnation, uint64_t request);

    // Records that an answer to a request with `blocks` began.
    void recordAnswer(const std::vector<std::string> &blocks);

    // Replaces the findings of other hosts, by host. Takes time in proportion to the losses of all hosts, so changes that arrive
    // together are passed in together.
    void replaceFindings(std::map<std::string, BlockFindings> changed);

    // Adds the findings that this host published before it was restarted. Later calls do nothing: they are echoes of what this
    // process published.
    void restore(const BlockFindings &findings);

    // Returns the findings of this host, for publishing.
    BlockFindings ownFindings() const;

    // Increases with each change of this host's findings.
    uint64_t changeCount() const;

    // Returns true if a request with `blocks` must not run.
    bool isBlocked(const std::vector<std::string> &blocks) const;

    // Returns true if a request with `blocks` must not be retried after it was lost: at least two incarnations ended under
    // one of the blocks for no other known reason.
    bool isSuspected(const std::vector<std::string> &blocks) const;

    // Returns the blocks under which at least two incarnations ended for no other known reason, strongest evidence first.
    std::vector<SuspectedBlocks> suspects() const;

private:
    struct OwnEvidence
    {
        std::vector<BlockLoss> losses;
        // Position of the first loss in the order of all losses.
        uint64_t order = 0;
    };
    struct Evidence
    {
        std::set<std::string> incarnations;
        std::set<uint64_t> requests;
    };

    bool isAnswered(const std::string &block) const;
    void markAnswered(const std::string &block);
    bool addOwnLoss(const BlockLoss &loss);
    void eraseOwnLosses(std::map<std::string, OwnEvidence>::iterator entry);
    void dropOldestLosses();
    void publishAnswered(const std::string &block);
    std::map<std::string, Evidence> unresolvedEvidence() const;
    void evaluate();

    // Guards all members but `evaluated`.
    mutable std::mutex mutex;
    // Losses of this host by block, and how many there are.
    std::map<std::string, OwnEvidence> ownLosses;
    size_t ownLossCount = 0;
    uint64_t lossOrder = 0;
    // Blocks, by hash, that let an answer begin on this host. When `recentAnswered` is full, it replaces `olderAnswered`.
    std::unordered_set<uint64_t> recentAnswered;
    std::unordered_set<uint64_t> olderAnswered;
    // Answered blocks that this host publishes, oldest first.
    std::vector<std::string> publishedAnswered;
    std::map<std::string, BlockFindings> otherFindings;
    // Blocks of which other hosts have losses and which were not answered here.
    std::unordered_set<std::string> lostElsewhere;
    bool isRestored = false;
    uint64_t changes = 0;
    // Guards `evaluated` only, so that a request does not wait while findings are evaluated. Locked after `mutex`.
    mutable std::mutex evaluatedMutex;
    std::vector<SuspectedBlocks> evaluated;
};

} // namespace pimentosail
