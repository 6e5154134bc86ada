#include <atomic>
#include <thread>

#include <criterion/criterion.h>

#include "pimentosail/net/httpclient.h"
#include "pimentosail/net/httpserver.h"

using namespace pimentosail;

// A kept connection once had the receive time-out of the call that opened it, so that later calls with a longer
// time-out (a watch) ended early.
Test(net, a_kept_connection_takes_the_timeout_of_each_call)
{
    HttpServer server("127.0.0.1:18931", 8, [](HttpExchange &exchange) {
        if (exchange.path() == "/slow") {
            Clock().sleepFor(Milliseconds(600));
        }
        exchange.send(200, "text/plain", "ok");
    });
    server.start();
    HttpClient client;
    cr_assert_eq(client.call("127.0.0.1:18931", {"GET", "/quick", {}, ""}, Milliseconds(200)).status, 200);
    cr_assert_eq(client.call("127.0.0.1:18931", {"GET", "/slow", {}, ""}, Milliseconds(3000)).status, 200);
    server.stop();
}
