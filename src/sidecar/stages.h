#ifndef SKH_STAGES_H
#define SKH_STAGES_H

/**
 * DOC: Stages of a rebalance plan
 *
 * Schedules the expert copies of a plan into stages, such that an expert is
 * overwritten only while another live rank holds it. No rank then needs memory for
 * two maps, and every expert stays available. Keeps no state and does no I/O; safe
 * to call from any thread as long as nobody else uses the arguments.
 */

#include "rebalance.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_stages_assign() - assign each copy of a plan to the earliest possible stage
 * @input: dimensions, rank speeds and the placement that the plan starts from
 * @plan: copies in an order that works when they are made one at a time
 *
 * Sets the stage of each copy and the number of stages, and sorts the copies by
 * stage, rank and slot.
 */
void skh_stages_assign(const skh_rebalance_input_t *input, skh_rebalance_plan_t *plan);

#ifdef __cplusplus
}
#endif
#endif
