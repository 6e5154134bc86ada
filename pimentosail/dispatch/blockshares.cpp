#include "pimentosail/dispatch/blockshares.h"

#include <algorithm>
#include <cmath>

namespace pimentosail
{

namespace
{

// Sums are multiplied by `DecayFactor` after this number of prompts, so that about the last thousand count.
constexpr int DecayInterval = 100;
constexpr double DecayFactor = 0.9;
// Until there were this many prompts, a share is computed as if there were: the first few say little.
constexpr double MinPrompts = 200;
// A block with a smaller share of the tokens is forgotten when the sums decay.
constexpr double ForgottenShare = 1e-4;
constexpr size_t MaxServices = 128;

} // namespace

size_t BlockShares::recordAndCount(const std::string &service, const std::string &block, double tokens, size_t targets)
{
    const std::lock_guard lock(this->mutex);
    if (this->services.size() >= MaxServices && !this->services.contains(service)) {
        this->services.clear();
    }
    ServiceState &state = this->services[service];
    state.prompts += 1;
    state.tokens += tokens;
    double &ofBlock = state.blocks[block];
    ofBlock += tokens;
    const double total = state.tokens * std::max(1.0, MinPrompts / state.prompts);
    const double wanted = total > 0 ? std::ceil(ofBlock / total * static_cast<double>(targets)) : 1;
    if (++state.untilDecay >= DecayInterval) {
        state.untilDecay = 0;
        decay(state);
    }
    return std::clamp<size_t>(static_cast<size_t>(wanted), 1, std::max<size_t>(1, targets));
}

void BlockShares::decay(ServiceState &service)
{
    service.prompts *= DecayFactor;
    service.tokens *= DecayFactor;
    for (auto &[block, tokens] : service.blocks) {
        tokens *= DecayFactor;
    }
    std::erase_if(service.blocks, [&service](const auto &entry) { return entry.second < ForgottenShare * service.tokens; });
}

} // namespace pimentosail
