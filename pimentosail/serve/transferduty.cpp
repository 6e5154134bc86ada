#include "pimentosail/serve/transferduty.h"

#include <algorithm>
#include <atomic>

#include "pimentosail/base/json.h"
#include "pimentosail/base/statelog.h"
#include "pimentosail/serve/context.h"

namespace pimentosail
{

namespace
{

constexpr Duration OrderTimeout = std::chrono::seconds(30);
constexpr Duration StoreCallTimeout = std::chrono::seconds(2);
// Longest wait for an export before the thread checks whether it must stop.
constexpr Duration ExportWait = Milliseconds(200);

std::string promptKeyText(uint64_t promptKey)
{
    return std::to_string(promptKey);
}

Json::Value toJson(const TransferOrder &order)
{
    Json::Value value;
    value["export"] = order.isExport;
    value["store"] = order.store;
    value["tier"] = static_cast<int>(order.tier);
    value["engine"] = order.engineAddress;
    value["team"] = order.team;
    value["prompt"] = std::to_string(order.promptKey);
    value["salt"] = std::to_string(order.salt);
    value["tokens"] = Json::Int64(order.tokens);
    value["piece_bytes"] = Json::Int64(order.blockBytes);
    value["priority"] = static_cast<int>(order.priority);
    for (const uint64_t block : order.blocks) {
        value["pieces"].append(std::to_string(block));
    }
    return value;
}

} // namespace

TransferOrder transferOrderFromJson(const Json::Value &value)
{
    TransferOrder order;
    order.isExport = jsonBoolean(value, "export");
    order.store = jsonString(value, "store");
    order.tier = static_cast<Tier>(jsonInteger(value, "tier"));
    order.engineAddress = jsonString(value, "engine");
    order.team = jsonString(value, "team");
    order.promptKey = std::stoull(jsonString(value, "prompt", "0"));
    order.salt = std::stoull(jsonString(value, "salt", "0"));
    order.tokens = jsonInteger(value, "tokens");
    order.blockBytes = jsonInteger(value, "piece_bytes");
    order.priority = static_cast<TransferClass>(jsonInteger(value, "priority"));
    for (const Json::Value &block : value["pieces"]) {
        order.blocks.push_back(std::stoull(block.asString()));
    }
    return order;
}

struct TransferDuty::StoreState
{
    StoreState(const CacheStoreSettings &store)
        : contents(store.memoryBytes, store.diskBytes)
        , memory(static_cast<double>(store.memoryLinkBytesPerSecond))
        , disk(static_cast<double>(store.diskLinkBytesPerSecond))
    {
    }

    LinkQueue &link(Tier tier)
    {
        return tier == Tier::Memory ? this->memory : this->disk;
    }

    std::mutex mutex;
    StoreContents contents;
    LinkQueue memory;
    LinkQueue disk;
    std::atomic<uint64_t> nextTransfer{1};
    // True once the manifests of the store have been read; reset when another host becomes its owner.
    std::atomic<bool> areContentsRead{false};
};

TransferDuty::TransferDuty(Clock &runtimeClock)
    : clock(runtimeClock)
    , thread("transfer", [this] { this->run(); })
{
}

TransferDuty::~TransferDuty() = default;

void TransferDuty::attach(Context &processContext)
{
    this->context = &processContext;
}

void TransferDuty::start()
{
    this->thread.start();
}

void TransferDuty::stop()
{
    this->stopping.store(true);
    this->pendingExports.close();
    this->thread.join();
}

void TransferDuty::configure(const std::vector<CacheStoreSettings> &stores)
{
    const std::lock_guard lock(this->mutex);
    for (const CacheStoreSettings &store : stores) {
        this->configuredStores[store.name] = store;
    }
}

TransferDuty::StoreState &TransferDuty::stateOf(const std::string &store)
{
    const std::lock_guard lock(this->mutex);
    const auto configured = this->configuredStores.find(store);
    if (configured == this->configuredStores.end()) {
        throw Failure(ErrorKind::NotFound, "cache store '" + store + "' is not configured");
    }
    std::unique_ptr<StoreState> &state = this->states[store];
    if (!state) {
        state = std::make_unique<StoreState>(configured->second);
    }
    return *state;
}

void TransferDuty::exportCopy(const Export &command)
{
    if (!this->pendingExports.tryPush(command)) {
        this->context->decisions.post(StoreCopyChanged{command.promptKey, command.store, command.tier, 0});
    }
}

void TransferDuty::run()
{
    while (!this->stopping.load()) {
        const std::optional<Export> command = this->pendingExports.pop(ExportWait);
        if (!command) {
            continue;
        }
        TransferOrder order;
        // Address of the engine, name of its model and name of the cache store. Shared, because `inspect` may time out before
        // the decision thread sets them.
        auto names = std::make_shared<std::array<std::string, 3>>();
        this->context->decisions.inspect([names, copy = *command](const Scheduler &scheduler) {
            const TargetDescription &target = scheduler.targets().at(copy.target).description;
            *names = {target.address, target.model, scheduler.storeName(copy.store)};
        });
        const ConfigurationPointer configuration = this->context->configuration.current();
        const Model *model = configuration ? configuration->lists.model((*names)[1]) : nullptr;
        int64_t moved = 0;
        if (model != nullptr) {
            order.isExport = true;
            order.engineAddress = (*names)[0];
            order.store = (*names)[2];
            order.tier = command->tier;
            order.team = command->team;
            order.promptKey = command->promptKey;
            order.salt = cacheSalt(command->team, model->name, model->version);
            order.blocks = command->blocks;
            order.tokens = command->tokens;
            order.blockBytes = model->blockTokens * model->cacheBytesPerToken;
            order.priority = TransferClass::Background;
            try {
                moved = this->sendToOwner(order);
            } catch (const Failure &failure) {
                this->context->metrics.count("pimentosail_transfer_failures_total", {{"kind", "export"}});
            }
        }
        this->context->decisions.post(StoreCopyChanged{command->promptKey, command->store, command->tier, moved});
    }
}

int64_t TransferDuty::sendToOwner(const TransferOrder &order)
{
    std::string owner;
    const std::string address = this->context->membership.ownerAddress(storeRole(order.store), &owner);
    if (owner == this->context->membership.self().name) {
        return this->perform(order);
    }
    if (address.empty() || !this->context->membership.hasRecentHeartbeat(owner)) {
        throw Failure(ErrorKind::PeerLost, "the owner of cache store '" + order.store + "' cannot be reached");
    }
    return this->context->peers.call(address, "transfer", toJson(order), OrderTimeout)["tokens"].asInt64();
}

void TransferDuty::importCopy(const Dispatch &dispatch, const RequestInfo &info, const RunSpec &spec)
{
    const ConfigurationPointer configuration = this->context->configuration.current();
    const Model *model = configuration->lists.model(spec.model);
    if (model == nullptr) {
        return;
    }
    auto store = std::make_shared<std::string>();
    this->context->decisions.inspect([store, index = dispatch.source.store](const Scheduler &scheduler) { *store = scheduler.storeName(index); });
    TransferOrder order;
    order.store = *store;
    order.tier = dispatch.source.tier;
    order.engineAddress = dispatch.address;
    order.team = spec.team;
    order.promptKey = info.promptKey;
    order.salt = cacheSalt(spec.team, spec.model, model->version);
    order.blocks = info.blocks;
    order.tokens = dispatch.source.tokens;
    order.blockBytes = model->blockTokens * model->cacheBytesPerToken;
    order.priority = spec.priority == Priority::Interactive ? TransferClass::UrgentImport : TransferClass::Import;
    try {
        const int64_t moved = this->sendToOwner(order);
        this->context->metrics.count("pimentosail_imported_tokens_total", {{"tier", tierName(order.tier)}}, static_cast<double>(moved));
    } catch (const std::exception &failure) {
        this->context->metrics.count("pimentosail_transfer_failures_total", {{"kind", "import"}});
        this->context->decisions.post(StoreCopyChanged{info.promptKey, dispatch.source.store, order.tier, 0});
    }
}

int64_t TransferDuty::perform(const TransferOrder &order)
{
    if (this->context->membership.usableLimit(storeRole(order.store), 1) <= 0) {
        throw Failure(ErrorKind::NotOwner, "this host does not own cache store '" + order.store + "'");
    }
    const std::shared_ptr<const Fleet> fleet = this->context->fleet.current();
    const FleetHost *host = fleet->find(order.store);
    if (host == nullptr || host->availability != TargetAvailability::Live) {
        throw Failure(ErrorKind::NoTarget, "cache store '" + order.store + "' is not in service");
    }
    StoreState &state = this->stateOf(order.store);
    this->readContents(state, *host, order.blockBytes);
    return order.isExport ? this->performExport(order, state, *host) : this->performImport(order, state, *host);
}

void TransferDuty::moveBlocks(const TransferOrder &order, StoreState &state, const FleetHost &host, size_t first)
{
    LinkQueue &link = state.link(order.tier);
    const uint64_t id = state.nextTransfer.fetch_add(1);
    const size_t count = order.blocks.size() - first;
    if (count == 0) {
        return;
    }
    link.submit({id, static_cast<int64_t>(count), order.blockBytes, order.priority});
    for (size_t index = first; index < order.blocks.size(); ++index) {
        link.acquireSlot(id);
        try {
            this->moveBlock(order, host, index);
        } catch (const Failure &) {
            link.releaseSlot(id, true);
            throw;
        }
        link.releaseSlot(id, false);
    }
}

void TransferDuty::moveBlock(const TransferOrder &order, const FleetHost &host, size_t index)
{
    const uint64_t previous = index == 0 ? order.salt : order.blocks[index - 1];
    const BlockTransfer transfer{host.address, tierName(order.tier), order.blocks[index], previous, order.blockBytes, order.salt};
    if (order.isExport) {
        this->context->engines.exportBlock(order.engineAddress, transfer, OrderTimeout);
    } else {
        this->context->engines.importBlock(order.engineAddress, transfer, OrderTimeout);
    }
    const Metrics::Labels labels{{"store", order.store}, {"tier", tierName(order.tier)}, {"kind", order.isExport ? "export" : "import"}};
    this->context->metrics.count("pimentosail_link_bytes_total", labels, static_cast<double>(order.blockBytes));
}

// Reads, once after this host becomes the owner of a cache store, which copies earlier owners have left in it.
void TransferDuty::readContents(StoreState &state, const FleetHost &host, int64_t blockBytes)
{
    if (state.areContentsRead.exchange(true)) {
        return;
    }
    try {
        const HttpReply reply = this->context->http.call(host.address, {"GET", "/manifests/", {}, ""}, StoreCallTimeout);
        const Time now = this->clock.now();
        const Json::Value manifests = parseJson(reply.body);
        {
            const std::lock_guard lock(state.mutex);
            state.contents.clear();
        }
        for (const std::string &key : manifests.getMemberNames()) {
            const Json::Value &manifest = manifests[key];
            StoredCopy copy;
            copy.promptKey = std::stoull(key);
            copy.team = jsonString(manifest, "team");
            copy.tokens = jsonInteger(manifest, "tokens");
            copy.bytes = static_cast<int64_t>(manifest["pieces"].size()) * blockBytes;
            copy.tier = jsonString(manifest, "tier") == tierName(Tier::Disk) ? Tier::Disk : Tier::Memory;
            copy.lastUsed = now;
            const std::lock_guard lock(state.mutex);
            state.contents.admit(copy, now, [](const StoredCopy &, Time) { return 1.0; });
        }
        logStateChange("store_contents_read", {{"store", host.name}, {"copies", std::to_string(manifests.size())}});
    } catch (const std::exception &) {
        state.areContentsRead.store(false);
    }
}

void TransferDuty::deleteCopy(const FleetHost &host, uint64_t promptKey)
{
    this->context->http.call(host.address, {"DELETE", "/manifests/" + promptKeyText(promptKey), {}, ""}, StoreCallTimeout);
}

double TransferDuty::valueOf(const StoredCopy &copy, Time now) const
{
    return this->returnModel.returnProbability(copy.team, now - copy.lastUsed, returnHorizon(copy.tier));
}

Duration TransferDuty::diskWait(StoreState &state)
{
    return state.link(Tier::Disk).expectedWait(TransferClass::Background);
}

// Admits the copy of an order to its tier, and demotes or deletes the copies that are evicted for it. Returns false if
// its value does not justify a place in the tier.
bool TransferDuty::admitCopy(const TransferOrder &order, StoreState &state, const FleetHost &host)
{
    const Time now = this->clock.now();
    StoredCopy copy;
    copy.promptKey = order.promptKey;
    copy.team = order.team;
    copy.tokens = order.tokens;
    copy.bytes = static_cast<int64_t>(order.blocks.size()) * order.blockBytes;
    copy.tier = order.tier;
    copy.lastUsed = now;
    const Duration wait = this->diskWait(state);
    StoreAdmission admission;
    {
        const std::scoped_lock lock(state.mutex, this->returnModelMutex);
        const bool mayAdmit = copy.tier == Tier::Memory || (wait <= MaxDemotionWait && shouldDemote(this->valueOf(copy, now), wait));
        if (mayAdmit) {
            admission = state.contents.admit(copy, now, [this](const StoredCopy &stored, Time time) { return this->valueOf(stored, time); });
        }
    }
    for (const StoredCopy &evicted : admission.evicted) {
        this->demoteOrDelete(order, state, host, evicted);
    }
    return admission.admitted;
}

int64_t TransferDuty::performExport(const TransferOrder &order, StoreState &state, const FleetHost &host)
{
    if (order.tier == Tier::Memory) {
        const std::lock_guard lock(this->returnModelMutex);
        this->returnModel.addNew(order.team);
    }
    if (!this->admitCopy(order, state, host)) {
        // A copy whose value is too low for the memory tier may be admitted to the disk tier, unless the disk tier has
        // at least as many tokens of the prompt already.
        if (order.tier == Tier::Disk) {
            return 0;
        }
        {
            const std::lock_guard lock(state.mutex);
            const StoredCopy *diskCopy = state.contents.find(order.promptKey, Tier::Disk);
            if (diskCopy != nullptr && diskCopy->tokens >= order.tokens) {
                return diskCopy->tokens;
            }
        }
        TransferOrder diskOrder = order;
        diskOrder.tier = Tier::Disk;
        return this->performExport(diskOrder, state, host);
    }
    try {
        this->moveBlocks(order, state, host, 0);
        this->publishManifest(order, host);
    } catch (const Failure &) {
        const std::lock_guard lock(state.mutex);
        state.contents.remove(order.promptKey, order.tier);
        throw;
    }
    return order.tokens;
}

// Publishes the manifest of a copy after all its blocks are complete; readers do not see the copy before.
void TransferDuty::publishManifest(const TransferOrder &order, const FleetHost &host)
{
    Json::Value manifest;
    manifest["salt"] = std::to_string(order.salt);
    manifest["tier"] = tierName(order.tier);
    manifest["team"] = order.team;
    manifest["tokens"] = Json::Int64(order.tokens);
    for (const uint64_t block : order.blocks) {
        manifest["pieces"].append(std::to_string(block));
    }
    const HttpReply reply
        = this->context->http.call(host.address, {"PUT", "/manifests/" + promptKeyText(order.promptKey), {}, printJson(manifest)}, StoreCallTimeout);
    if (reply.status != 200) {
        throw Failure(ErrorKind::TargetLost, "the manifest was refused with HTTP " + std::to_string(reply.status));
    }
}

// Demotes a copy that was evicted from the memory tier to the disk tier if its value justifies that; deletes it
// otherwise.
void TransferDuty::demoteOrDelete(const TransferOrder &order, StoreState &state, const FleetHost &host, StoredCopy copy)
{
    const Time now = this->clock.now();
    const Duration wait = this->diskWait(state);
    bool isAdmitted = false;
    // True if the disk tier already has a copy of the prompt.
    bool isOnDisk = false;
    std::vector<StoredCopy> evicted;
    if (copy.tier == Tier::Memory) {
        const std::scoped_lock lock(state.mutex, this->returnModelMutex);
        copy.tier = Tier::Disk;
        if (state.contents.find(copy.promptKey, Tier::Disk) != nullptr) {
            isOnDisk = true;
        } else if (wait <= MaxDemotionWait && shouldDemote(this->valueOf(copy, now), wait)) {
            StoreAdmission admission = state.contents.admit(copy, now, [this](const StoredCopy &stored, Time time) { return this->valueOf(stored, time); });
            isAdmitted = admission.admitted;
            evicted = std::move(admission.evicted);
        }
    }
    for (const StoredCopy &old : evicted) {
        this->deleteCopy(host, old.promptKey);
    }
    if (isOnDisk) {
        this->context->http.call(host.address, {"POST", "/manifests/" + promptKeyText(copy.promptKey) + "/demote?bytes=0", {}, ""}, StoreCallTimeout);
        return;
    }
    if (!isAdmitted) {
        this->deleteCopy(host, copy.promptKey);
        return;
    }
    LinkQueue &link = state.link(Tier::Disk);
    const int64_t blocks = std::max<int64_t>(1, copy.bytes / std::max<int64_t>(1, order.blockBytes));
    const uint64_t id = state.nextTransfer.fetch_add(1);
    link.submit({id, blocks, order.blockBytes, TransferClass::Background});
    for (int64_t block = 0; block < blocks; ++block) {
        link.acquireSlot(id);
        const std::string path
            = "/manifests/" + promptKeyText(copy.promptKey) + "/demote?piece=" + std::to_string(block) + "&bytes=" + std::to_string(order.blockBytes);
        bool moved = false;
        try {
            moved = this->context->http.call(host.address, {"POST", path, {}, ""}, OrderTimeout).status == 200;
        } catch (const Failure &) {
            // The copy is removed from the contents below.
        }
        link.releaseSlot(id, !moved);
        if (!moved) {
            const std::lock_guard lock(state.mutex);
            state.contents.remove(copy.promptKey, copy.tier);
            return;
        }
    }
    this->context->metrics.count(
        "pimentosail_link_bytes_total", {{"store", order.store}, {"tier", "disk"}, {"kind", "demotion"}}, static_cast<double>(copy.bytes));
}

int64_t TransferDuty::performImport(const TransferOrder &order, StoreState &state, const FleetHost &host)
{
    const std::string path = "/manifests/" + promptKeyText(order.promptKey);
    const HttpReply pinned = this->context->http.call(host.address, {"POST", path + "/pin", {}, ""}, StoreCallTimeout);
    if (pinned.status != 200) {
        const std::lock_guard lock(state.mutex);
        state.contents.remove(order.promptKey, order.tier);
        throw Failure(ErrorKind::NotFound, "the cache store has no such copy");
    }
    const Json::Value manifest = parseJson(pinned.body);
    if (jsonString(manifest, "salt") != std::to_string(order.salt)) {
        throw Failure(ErrorKind::NotFound, "the copy belongs to another team or weight version");
    }
    TransferOrder matchingOrder = order;
    matchingOrder.tier = jsonString(manifest, "tier") == tierName(Tier::Disk) ? Tier::Disk : Tier::Memory;
    matchingOrder.blocks.clear();
    for (const Json::Value &block : manifest["pieces"]) {
        const uint64_t id = std::stoull(block.asString());
        const size_t index = matchingOrder.blocks.size();
        if (index >= order.blocks.size() || order.blocks[index] != id) {
            break;
        }
        matchingOrder.blocks.push_back(id);
    }
    this->moveBlocks(matchingOrder, state, host, 0);
    // Another copy may have replaced this one while it was read, so the generation must still be the pinned one.
    const HttpReply after = this->context->http.call(host.address, {"POST", path + "/unpin", {}, ""}, StoreCallTimeout);
    const bool isUnchanged = after.status == 200 && jsonInteger(parseJson(after.body), "generation") == jsonInteger(manifest, "generation");
    if (!isUnchanged) {
        throw Failure(ErrorKind::Incomplete, "the copy changed while it was read");
    }
    const std::scoped_lock lock(state.mutex, this->returnModelMutex);
    const Time now = this->clock.now();
    if (const StoredCopy *copy = state.contents.find(order.promptKey)) {
        this->returnModel.addGap(order.team, now - copy->lastUsed);
        state.contents.markUsed(order.promptKey, now);
    }
    return static_cast<int64_t>(matchingOrder.blocks.size()) * (order.blocks.empty() ? 0 : order.tokens / static_cast<int64_t>(order.blocks.size()));
}

std::vector<LinkSummary> TransferDuty::ownLinks()
{
    std::vector<LinkSummary> result;
    const std::lock_guard lock(this->mutex);
    for (const auto &[name, store] : this->configuredStores) {
        if (this->context->membership.usableLimit(storeRole(name), 1) <= 0) {
            // Another host owns the store now and changes its contents, so they must be read again before the next use.
            if (this->states.count(name) != 0) {
                this->states.at(name)->areContentsRead.store(false);
            }
            continue;
        }
        std::unique_ptr<StoreState> &state = this->states[name];
        if (!state) {
            state = std::make_unique<StoreState>(store);
        }
        const std::shared_ptr<const Fleet> fleet = this->context->fleet.current();
        const FleetHost *host = fleet->find(name);
        for (const Tier tier : {Tier::Memory, Tier::Disk}) {
            LinkSummary summary;
            summary.storeHash = targetNameHash(name);
            summary.tier = static_cast<uint8_t>(tier);
            summary.usable = host != nullptr && host->availability == TargetAvailability::Live;
            summary.waitMilliseconds = static_cast<uint32_t>(toMilliseconds(state->link(tier).expectedWait(TransferClass::Import)));
            {
                const std::lock_guard stateLock(state->mutex);
                const Duration age = state->contents.evictionAge(tier);
                summary.evictionAgeSeconds = age < Duration(0) ? -1 : static_cast<int32_t>(toSeconds(age));
            }
            result.push_back(summary);
        }
    }
    return result;
}

} // namespace pimentosail
