#include "pimentosail/delivery/deliveryorder.h"
