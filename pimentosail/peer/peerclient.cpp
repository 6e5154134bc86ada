#include "pimentosail/peer/peerclient.h"

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"
#include "pimentosail/rpcclient/rpcclient.h"

namespace pimentosail
{

Json::Value PeerClient::call(const std::string &address, const std::string &method, const Json::Value &arguments, Duration timeout)
{
    const RpcTransport transport = [&](const std::string &message) {
        HttpRequest request{"POST", "/rpc", {}, message};
        request.accepts = [&message](const HttpReply &answer) {
            return answer.status != 200 || isRpcAnswer(message, answer.body);
        };
        const HttpReply reply = this->http.call(address, request, timeout);
        this->countBytes(method, message.size() + reply.body.size());
        if (reply.status != 200) {
            throw Failure(ErrorKind::PeerLost, address + " answered " + std::to_string(reply.status));
        }
        return reply.body;
    };
    Json::Value parameters;
    parameters["arguments"] = arguments.isNull() ? Json::Value(Json::objectValue) : arguments;
    try {
        return callRpc(transport, method, parameters);
    } catch (const RpcError &error) {
        const ErrorKind kind = errorKindFromName(jsonString(error.data, "kind", "internal"));
        throw Failure(Error(kind, error.what(), jsonBoolean(error.data, "not_run")));
    }
}

} // namespace pimentosail
