#include "pimentosail/delivery/deliverypermission.h"
