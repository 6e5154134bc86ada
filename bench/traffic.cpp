#include "bench/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "pimentosail/base/hash.h"

namespace pimentosail::bench
{

namespace
{

// The arrival rate of new prompts follows a sine around its mean, with this relative amplitude and period.
constexpr double BurstAmplitude = 0.3;
constexpr double BurstPeriodSeconds = 300;
// Fraction of the prefill and import rates that requests can use: links also transmit copies to the stores.
constexpr double SustainableFraction = 0.5;
// Zipf exponent of the teams' shares of a class.
constexpr double TeamSkew = 1.1;

TrafficClass makeTrafficClass(const std::string &name, std::vector<std::string> teams, const std::string &model, Priority priority, double share)
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
    TrafficClass frost = makeTrafficClass("frost-night", {"pickers", "drivers", "press-hall", "dispatch-office"}, "dispatcher", Priority::Interactive, 0.75);
    frost.minPromptTokens = 12'000;
    frost.maxPromptTokens = 30'000;
    frost.answerTokens = 1;
    frost.medianGap = std::chrono::minutes(6);
    frost.firstTokenLimit = Milliseconds(1700);
    frost.finishLimit = std::chrono::seconds(60);
    TrafficClass reports = makeTrafficClass("reports", {"vintage-reports", "audits"}, "dispatcher", Priority::Batch, 0.15);
    reports.minPromptTokens = 12'000;
    reports.maxPromptTokens = 36'000;
    reports.answerTokens = 150;
    reports.medianGap = std::chrono::minutes(12);
    reports.firstTokenLimit = std::chrono::hours(1);
    reports.finishLimit = std::chrono::hours(2);
    TrafficClass parcels
        = makeTrafficClass("parcel-history", {"parcel-history", "growers-east", "growers-west", "laboratory"}, "cellar-desk", Priority::Standard, 0.10);
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
    TrafficClass verses = makeTrafficClass("verse-checks", {"editor-families", "editor-shops", "verse-checks"}, "phrase-loom", Priority::Interactive, 0.55);
    verses.minPromptTokens = 12'000;
    verses.maxPromptTokens = 30'000;
    verses.answerTokens = 12;
    verses.medianGap = std::chrono::minutes(8);
    verses.firstTokenLimit = Milliseconds(1700);
    verses.finishLimit = std::chrono::seconds(60);
    TrafficClass drafts = makeTrafficClass("drafts", {"drafts-birthdays", "drafts-memorials", "drafts-shops"}, "phrase-loom", Priority::Batch, 0.35);
    drafts.minPromptTokens = 16'000;
    drafts.maxPromptTokens = 40'000;
    drafts.answerTokens = 200;
    drafts.medianGap = std::chrono::minutes(15);
    drafts.firstTokenLimit = std::chrono::hours(1);
    drafts.finishLimit = std::chrono::hours(2);
    TrafficClass clerks = makeTrafficClass("clerks", {"clerk-desk-north", "clerk-desk-river", "calendars", "postings"}, "card-desk", Priority::Standard, 0.10);
    clerks.minPromptTokens = 8'000;
    clerks.maxPromptTokens = 16'000;
    clerks.answerTokens = 40;
    clerks.medianGap = std::chrono::minutes(5);
    clerks.firstTokenLimit = std::chrono::seconds(5);
    clerks.finishLimit = std::chrono::seconds(120);
    deployment.classes = {verses, drafts, clerks};
    return deployment;
}

// Appends all uses of a prompt within the trace. `first` may be before the start of the trace.
void emitPrompt(
    const TrafficClass &trafficClass, const std::string &team, uint64_t key, Time first, Duration length, std::mt19937_64 &random, std::vector<Arrival> &out)
{
    std::lognormal_distribution<double> gaps(std::log(toSeconds(trafficClass.medianGap)), trafficClass.gapSpread);
    std::uniform_int_distribution<int64_t> sizes(trafficClass.minPromptTokens, trafficClass.maxPromptTokens);
    std::uniform_real_distribution<double> uniform(0, 1);
    Arrival arrival;
    arrival.team = team;
    arrival.model = trafficClass.model;
    arrival.priority = trafficClass.priority;
    arrival.promptKey = key;
    arrival.promptTokens = sizes(random);
    arrival.answerTokens = trafficClass.answerTokens;
    arrival.firstTokenLimit = trafficClass.firstTokenLimit;
    arrival.finishLimit = trafficClass.finishLimit;
    Time at = first;
    while (at < length) {
        const bool returns = uniform(random) < trafficClass.returnProbability;
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
    for (const TrafficClass &trafficClass : deployment.classes) {
        if (trafficClass.model == deployment.pools.front().model) {
            promptTokens += trafficClass.share * static_cast<double>(trafficClass.minPromptTokens + trafficClass.maxPromptTokens) / 2;
            mainShare += trafficClass.share;
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
    uint64_t promptCount = 0;
    for (size_t index = 0; index < deployment.classes.size(); ++index) {
        const TrafficClass &trafficClass = deployment.classes[index];
        std::mt19937_64 random(combineHashes(seed, index + 1));
        std::vector<double> weights;
        for (size_t team = 0; team < trafficClass.teams.size(); ++team) {
            weights.push_back(1.0 / std::pow(static_cast<double>(team + 1), TeamSkew));
        }
        std::discrete_distribution<size_t> teams(weights.begin(), weights.end());
        std::uniform_real_distribution<double> uniform(0, 1);
        // Each prompt is used 1 / (1 - returnProbability) times on average.
        const double newPromptRate = rate * trafficClass.share * (1 - trafficClass.returnProbability);
        std::exponential_distribution<double> spacing(newPromptRate * (1 + BurstAmplitude));
        // Also generates prompts whose first use is before the trace, so that returns are in balance from its start.
        const double leadSeconds = 3 * toSeconds(trafficClass.medianGap) / (1 - trafficClass.returnProbability);
        for (double at = -leadSeconds; at < toSeconds(length); at += spacing(random)) {
            // Candidates arrive at the peak rate; a random part of them is dropped to follow the present rate.
            const double relativeRate = 1 + BurstAmplitude * std::sin(2 * M_PI * at / BurstPeriodSeconds);
            if (uniform(random) * (1 + BurstAmplitude) > relativeRate) {
                continue;
            }
            emitPrompt(trafficClass, trafficClass.teams[teams(random)], combineHashes(seed, ++promptCount), fromSeconds(at), length, random, arrivals);
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    return arrivals;
}

} // namespace pimentosail::bench
