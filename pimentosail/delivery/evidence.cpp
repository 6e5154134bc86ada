#include "pimentosail/delivery/evidence.h"
