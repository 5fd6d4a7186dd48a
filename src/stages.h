#ifndef SKH_STAGES_H
#define SKH_STAGES_H

/**
 * DOC: Stages of a plan
 *
 * Orders the loads of a plan so that no rank needs memory for two maps and no
 * expert is ever missing. Pure.
 */

#include "rebalance.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_stages_assign() - give each load of @plan the first stage that it fits into
 *
 * The loads must be in an order in which one at a time is possible.
 */
void skh_stages_assign(const skh_rebalance_input_t *view, skh_rebalance_plan_t *plan);

#ifdef __cplusplus
}
#endif
#endif
