#include <criterion/criterion.h>

#include "pimentosail/base/json.h"
#include "pimentosail/kv/memorykeyvalue.h"
#include "pimentosail/serve/configurationduty.h"
#include "pimentosail/serve/fleet.h"
#include "pimentosail/serve/retrybudget.h"
#include "pimentosail/serve/runspec.h"
#include "pimentosail/serve/suspects.h"

using namespace pimentosail;

namespace
{

constexpr Duration Second = std::chrono::seconds(1);
const std::string Digest(64, 'b');

Configuration makeConfiguration(int64_t revision)
{
    const std::string plans = "plans:\n  - name: p\n    teams:\n      - name: t\n        key_sha256: " + Digest + "\n";
    Result<Configuration> configuration = Configuration::fromLists(plans, "allowances:\n  - plan: p\n    tokens_per_second: 5\n");
    cr_assert(configuration.has_value(), "%s", configuration ? "" : configuration.error().message.c_str());
    configuration->revision = revision;
    return *configuration;
}

struct Fixture
{
    Fixture()
    {
        ConfigurationHooks hooks;
        hooks.isWatcher = [] {
            return true;
        };
        hooks.fetchDocument = [this](const std::string &) {
            return this->peerDocument;
        };
        hooks.peerAddresses = [] {
            return std::vector<std::string>();
        };
        hooks.onConfigurationChange = [this](const ConfigurationPointer &) {
            ++this->changes;
        };
        this->duty = std::make_unique<ConfigurationDuty>(this->clock, this->store, hooks);
        this->duty->start();
    }
    ~Fixture()
    {
        this->clock.interrupt();
        this->duty->stop();
    }

    // Stores a document without the duty, as a concurrent or foreign client would.
    void storeDocument(const std::string &document)
    {
        const std::optional<KeyValue> current = this->store.get("configuration/current");
        this->store.compareAndSwap("configuration/current", current ? current->modRevision : 0, document, 0);
    }

    bool comesIntoForce(int64_t revision)
    {
        const Time end = this->clock.now() + Second * 6;
        while (this->clock.now() < end) {
            const ConfigurationPointer current = this->duty->current();
            if (current && current->revision == revision) {
                return true;
            }
            this->clock.sleepFor(Milliseconds(20));
        }
        return false;
    }

    Clock clock;
    std::shared_ptr<MemoryKeyValue> memory = std::make_shared<MemoryKeyValue>(this->clock);
    KeyValueStore store = KeyValueStore::inMemory(this->memory);
    std::string peerDocument;
    std::atomic<int> changes{0};
    std::unique_ptr<ConfigurationDuty> duty;
};

Result<Configuration> withZoneOut(const Configuration &current)
{
    Configuration next = current.revision == 0 ? makeConfiguration(0) : current;
    next.zonesOut.insert("z");
    return next;
}

} // namespace

Test(configuration, a_rolled_back_value_does_not_come_into_force)
{
    Fixture fixture;
    fixture.storeDocument(makeConfiguration(5).toDocument());
    cr_assert(fixture.comesIntoForce(5));
    fixture.storeDocument(makeConfiguration(4).toDocument());
    fixture.clock.sleepFor(Second * 4);
    cr_assert_eq(fixture.duty->current()->revision, 5);
    // The next change is based on the accepted revision, not on the rolled-back value.
    const Result<ConfigurationPointer> applied = fixture.duty->apply(5, withZoneOut, "a", "s");
    cr_assert(applied.has_value());
    cr_assert_eq((*applied)->revision, 6);
}

Test(configuration, a_bad_value_leaves_the_last_good_one_in_force)
{
    Fixture fixture;
    fixture.storeDocument(makeConfiguration(5).toDocument());
    cr_assert(fixture.comesIntoForce(5));
    fixture.storeDocument("{\"revision\":6,\"plans\":\"plans: [\",\"allowances\":\"\"}");
    fixture.clock.sleepFor(Second * 4);
    cr_assert_eq(fixture.duty->current()->revision, 5);
    cr_assert_neq(fixture.duty->lastRefusal().find("plans.yaml:1"), std::string::npos);
}

Test(configuration, an_older_revision_of_a_peer_is_ignored_and_a_newer_one_taken)
{
    Fixture fixture;
    fixture.storeDocument(makeConfiguration(5).toDocument());
    cr_assert(fixture.comesIntoForce(5));
    fixture.memory->setDown(true);
    fixture.peerDocument = makeConfiguration(3).toDocument();
    fixture.duty->receivePeerRevision("peer", 9);
    fixture.clock.sleepFor(Second);
    cr_assert_eq(fixture.duty->current()->revision, 5);
    fixture.peerDocument = makeConfiguration(9).toDocument();
    fixture.duty->receivePeerRevision("peer", 9);
    cr_assert(fixture.comesIntoForce(9));
}

Test(configuration, a_change_whose_answer_is_lost_is_accepted_once)
{
    Fixture fixture;
    fixture.memory->loseNextAnswers(1);
    const Result<ConfigurationPointer> applied = fixture.duty->apply(0, withZoneOut, "a", "s");
    cr_assert(applied.has_value());
    cr_assert_eq((*applied)->revision, 1);
    cr_assert_eq(fixture.duty->apply(0, withZoneOut, "b", "s").error().kind, ErrorKind::Conflict);
    cr_assert_eq(fixture.duty->apply(1, withZoneOut, "b", "s").value()->revision, 2);
}

Test(suspects, a_death_counts_once_for_each_run_of_a_target)
{
    SuspectTable suspects;
    cr_assert(suspects.record(1, "w-1/boot-a", Second));
    cr_assert_not(suspects.record(1, "w-1/boot-a", Second));
    cr_assert_eq(suspects.deaths(1, Second), 1);
    suspects.record(1, "w-2/boot-b", Second);
    cr_assert_eq(suspects.deaths(1, Second), QuarantineDeaths);
    cr_assert_eq(suspects.deaths(1, Second * 7200), 0);
    for (uint64_t fingerprint = 0; fingerprint < 10'000; ++fingerprint) {
        suspects.record(fingerprint, "x", Second);
    }
    cr_assert_leq(suspects.size(), 4096U);
}

Test(retries, the_budget_limits_retries_to_a_fraction_of_the_requests)
{
    RetryBudget budget;
    while (budget.tryRetry()) { }
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onRequest();
        retries += budget.tryRetry() ? 1 : 0;
    }
    cr_assert_leq(retries, 200);
    cr_assert_geq(retries, 190);
}

Test(runspec, a_run_and_its_answer_are_unchanged_by_encoding_and_decoding)
{
    RunSpec spec;
    spec.requestId = "r";
    spec.team = "t";
    spec.model = "m";
    spec.priority = Priority::Batch;
    spec.resumeFrom = 7;
    spec.deaths = 1;
    spec.excludedTargets = {"w-1", "w-2"};
    spec.firstTokenDeadline = Second * 12;
    const RunSpec read = decodeRun(encodeRunHeader(spec, Second * 10), "prompt", Second * 100);
    cr_assert_eq(read.firstTokenDeadline.count(), (Second * 102).count());
    cr_assert_eq(read.resumeFrom, 7);
    cr_assert_eq(read.excludedTargets.size(), 2U);
    cr_assert_eq(read.priority, Priority::Batch);
    const AnswerEvent failed = decodeAnswer(encodeAnswer(AnswerError{Error(ErrorKind::TargetLost, "gone"), 2, {"w-3"}}));
    cr_assert_eq(std::get<AnswerError>(failed).deaths, 2);
    cr_assert_eq(std::get<AnswerError>(failed).error.kind, ErrorKind::TargetLost);
    cr_assert(std::holds_alternative<AnswerKeepAlive>(decodeAnswer(encodeAnswer(AnswerKeepAlive{}))));
    cr_assert_eq(std::get<AnswerEnd>(decodeAnswer(encodeAnswer(AnswerEnd{"stop", 9, 1, 0, "w", "s", "h", 3}))).tokenCount, 9);
}

Test(fleet, zones_and_hosts_taken_out_are_leaving)
{
    std::vector<FleetHost> hosts = parseHostList("{\"hosts\":[{\"name\":\"a\",\"kind\":\"engine\",\"zone\":\"z\",\"state\":\"live\"},{\"name\":\"b\",\"kind\":"
                                                 "\"engine\",\"zone\":\"y\",\"state\":\"live\"}]}");
    Configuration configuration;
    configuration.zonesOut = {"z"};
    applyOutages(hosts, configuration);
    cr_assert_eq(hosts[0].availability, TargetAvailability::Leaving);
    cr_assert_eq(hosts[1].availability, TargetAvailability::Live);
    Fleet fleet{hosts};
    cr_assert_eq(fleet.targetsByPreference("", 1).size(), 1U);
}
