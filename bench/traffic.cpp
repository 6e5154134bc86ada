#include "bench/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "pimentosail/base/hash.h"

namespace pimentosail::bench
{

namespace
{

// Requests come in bursts: the rate swings around its mean with this amplitude and period.
constexpr double BurstAmplitude = 0.3;
constexpr double BurstPeriodSeconds = 300;
// Part of the recompute and import rates that is left for answers: links also carry copies into the stores.
constexpr double SustainableFraction = 0.5;
// Skew of the teams' sizes.
constexpr double TeamSkew = 1.1;

TrafficClass makeClass(const std::string &name, std::vector<std::string> teams, const std::string &model, Priority priority, double share)
{
    TrafficClass result;
    result.name = name;
    result.teams = std::move(teams);
    result.model = model;
    result.priority = priority;
    result.share = share;
    return result;
}

Deployment winery()
{
    Deployment deployment;
    deployment.name = "winery";
    deployment.zones = {"sungurlare", "melnik", "pomorie"};
    deployment.pools = {{"dispatcher", 12}, {"cellar-desk", 3}};
    deployment.stores = {"dossier-cache", "dossier-spare"};
    TrafficClass frost = makeClass("frost-night", {"pickers", "drivers", "press-hall", "dispatch-office"}, "dispatcher", Priority::Interactive, 0.75);
    frost.minPromptTokens = 12'000;
    frost.maxPromptTokens = 30'000;
    frost.answerTokens = 1;
    frost.medianGap = std::chrono::minutes(6);
    frost.firstTokenLimit = Milliseconds(1700);
    frost.finishLimit = std::chrono::seconds(60);
    TrafficClass reports = makeClass("reports", {"vintage-reports", "audits"}, "dispatcher", Priority::Batch, 0.15);
    reports.minPromptTokens = 12'000;
    reports.maxPromptTokens = 36'000;
    reports.answerTokens = 150;
    reports.medianGap = std::chrono::minutes(12);
    reports.firstTokenLimit = std::chrono::hours(1);
    reports.finishLimit = std::chrono::hours(2);
    TrafficClass parcels
        = makeClass("parcel-history", {"parcel-history", "growers-east", "growers-west", "laboratory"}, "cellar-desk", Priority::Standard, 0.10);
    parcels.minPromptTokens = 8'000;
    parcels.maxPromptTokens = 24'000;
    parcels.answerTokens = 120;
    parcels.medianGap = std::chrono::minutes(10);
    parcels.firstTokenLimit = std::chrono::seconds(10);
    parcels.finishLimit = std::chrono::seconds(300);
    deployment.classes = {frost, reports, parcels};
    return deployment;
}

Deployment krathong()
{
    Deployment deployment;
    deployment.name = "krathong";
    deployment.zones = {"nimman", "mae-rim", "hang-dong"};
    deployment.pools = {{"phrase-loom", 18}, {"card-desk", 3}};
    deployment.stores = {"memory-jar", "memory-urn"};
    TrafficClass verses = makeClass("verse-checks", {"editor-families", "editor-shops", "verse-checks"}, "phrase-loom", Priority::Interactive, 0.55);
    verses.minPromptTokens = 12'000;
    verses.maxPromptTokens = 30'000;
    verses.answerTokens = 12;
    verses.medianGap = std::chrono::minutes(8);
    verses.firstTokenLimit = Milliseconds(1700);
    verses.finishLimit = std::chrono::seconds(60);
    TrafficClass drafts = makeClass("drafts", {"drafts-birthdays", "drafts-memorials", "drafts-shops"}, "phrase-loom", Priority::Batch, 0.35);
    drafts.minPromptTokens = 16'000;
    drafts.maxPromptTokens = 40'000;
    drafts.answerTokens = 200;
    drafts.medianGap = std::chrono::minutes(15);
    drafts.firstTokenLimit = std::chrono::hours(1);
    drafts.finishLimit = std::chrono::hours(2);
    TrafficClass clerks = makeClass("clerks", {"clerk-desk-north", "clerk-desk-river", "calendars", "postings"}, "card-desk", Priority::Standard, 0.10);
    clerks.minPromptTokens = 8'000;
    clerks.maxPromptTokens = 16'000;
    clerks.answerTokens = 40;
    clerks.medianGap = std::chrono::minutes(5);
    clerks.firstTokenLimit = std::chrono::seconds(5);
    clerks.finishLimit = std::chrono::seconds(120);
    deployment.classes = {verses, drafts, clerks};
    return deployment;
}

// Emits a prompt's first use and its returns.
void emitPrompt(
    const TrafficClass &kind, const std::string &team, uint64_t key, Time first, Duration length, std::mt19937_64 &random, std::vector<Arrival> &out)
{
    std::lognormal_distribution<double> gaps(std::log(toSeconds(kind.medianGap)), kind.gapSpread);
    std::uniform_int_distribution<int64_t> sizes(kind.minPromptTokens, kind.maxPromptTokens);
    std::uniform_real_distribution<double> uniform(0, 1);
    Arrival arrival;
    arrival.team = team;
    arrival.model = kind.model;
    arrival.priority = kind.priority;
    arrival.promptKey = key;
    arrival.promptTokens = sizes(random);
    arrival.answerTokens = kind.answerTokens;
    arrival.firstTokenLimit = kind.firstTokenLimit;
    arrival.finishLimit = kind.finishLimit;
    Time at = first;
    while (at < length) {
        const bool returns = uniform(random) < kind.returnProbability;
        const Duration gap = fromSeconds(std::max(1.0, gaps(random)));
        arrival.at = at;
        arrival.returnsIn = returns ? std::optional(gap) : std::nullopt;
        if (at >= Time(0)) {
            out.push_back(arrival);
        }
        if (!returns) {
            return;
        }
        at += gap;
    }
}

} // namespace

Deployment deploymentOf(const std::string &name)
{
    return name == "krathong" ? krathong() : winery();
}

double capacityOf(const Deployment &deployment)
{
    double promptTokens = 0;
    double mainShare = 0;
    for (const TrafficClass &kind : deployment.classes) {
        if (kind.model == deployment.pools.front().model) {
            promptTokens += kind.share * static_cast<double>(kind.minPromptTokens + kind.maxPromptTokens) / 2;
            mainShare += kind.share;
        }
    }
    promptTokens /= mainShare;
    const double prefill = deployment.pools.front().workers * deployment.prefillTokensPerSecond / promptTokens;
    const double links = static_cast<double>(deployment.stores.size()) * (deployment.memoryLinkBytesPerSecond + deployment.diskLinkBytesPerSecond)
        / (promptTokens * deployment.cacheBytesPerToken);
    return SustainableFraction * (prefill + links) / mainShare;
}

std::vector<Arrival> makeTraffic(const Deployment &deployment, double rate, Duration length, uint64_t seed)
{
    std::vector<Arrival> arrivals;
    uint64_t promptNumber = 0;
    for (size_t index = 0; index < deployment.classes.size(); ++index) {
        const TrafficClass &kind = deployment.classes[index];
        std::mt19937_64 random(combineHashes(seed, index + 1));
        std::vector<double> weights;
        for (size_t team = 0; team < kind.teams.size(); ++team) {
            weights.push_back(1.0 / std::pow(static_cast<double>(team + 1), TeamSkew));
        }
        std::discrete_distribution<size_t> teams(weights.begin(), weights.end());
        std::uniform_real_distribution<double> uniform(0, 1);
        // Each prompt is used 1 / (1 - returnProbability) times on average.
        const double newRate = rate * kind.share * (1 - kind.returnProbability);
        std::exponential_distribution<double> spacing(newRate * (1 + BurstAmplitude));
        // The trace starts with prompts that began before it, so that returns are in balance.
        const double before = 3 * toSeconds(kind.medianGap) / (1 - kind.returnProbability);
        for (double at = -before; at < toSeconds(length); at += spacing(random)) {
            const double burst = 1 + BurstAmplitude * std::sin(2 * M_PI * at / BurstPeriodSeconds);
            if (uniform(random) * (1 + BurstAmplitude) > burst) {
                continue;
            }
            emitPrompt(kind, kind.teams[teams(random)], combineHashes(seed, ++promptNumber), fromSeconds(at), length, random, arrivals);
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    return arrivals;
}

} // namespace pimentosail::bench
