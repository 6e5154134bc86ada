#include "pimentosail/delivery/versionoutcomes.h"
