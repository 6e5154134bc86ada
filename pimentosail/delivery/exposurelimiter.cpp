#include "pimentosail/delivery/exposurelimiter.h"
