/*
 * Credit that the jobs of a simulated fleet have earned, against what they
 * owe, and against an upper bound of what any schedule earns.
 *
 *     credit_measure(&fleet);
 *     printf("%.2f\n", fleet.info.worth);
 */
#ifndef LIB_CREDIT_H
#define LIB_CREDIT_H

#include "lib_fleet_state.h"

/* Sets the fields of fleet->info on credit; the fleet has run. */
void credit_measure(fleet_t *fleet);

#endif
