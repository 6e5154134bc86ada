#include "pimentosail/base/interrupt.h"

#include <cerrno>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

#include "pimentosail/base/error.h"

namespace pimentosail
{

Interrupt::Interrupt()
{
    if (::pipe2(this->ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        throw Failure(ErrorKind::Internal, "pipe: " + std::generic_category().message(errno));
    }
}

Interrupt::~Interrupt()
{
    this->set();
    ::close(this->ends[0]);
}

void Interrupt::set()
{
    if (!this->flag.exchange(true)) {
        ::close(this->ends[1]);
    }
}

} // namespace pimentosail
