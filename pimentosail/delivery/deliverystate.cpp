#include "pimentosail/delivery/deliverystate.h"
