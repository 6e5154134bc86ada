#include "pimentosail/delivery/deliveryplan.h"
