#include "pimentosail/rollout/fencingtoken.h"

namespace pimentosail
{

namespace
{

constexpr int RevisionBits = 40;
// JSON numbers are exact below 2^53.
constexpr int TokenBits = 53;

} // namespace

Result<int64_t> fencingToken(const StorePosition &position)
{
    if (position.era >> (TokenBits - RevisionBits) != 0 || position.revision >> RevisionBits != 0) {
        return failed(ErrorKind::Internal, "no fencing token for era " + std::to_string(position.era) + ", revision " + std::to_string(position.revision));
    }
    return (position.era << RevisionBits) + position.revision;
}

int64_t eraOfToken(int64_t token)
{
    return token >> RevisionBits;
}

} // namespace pimentosail
