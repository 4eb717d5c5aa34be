/* clock.h - clocks and random numbers.

   Needs: the C library.  */

#ifndef MQ_CLOCK_H
#define MQ_CLOCK_H

#include <stdint.h>

/* Monotonic clock, without time in which the host is suspended.  */
uint64_t mq_clock_us (void);
uint64_t mq_clock_ms (void);
/* Monotonic clock including suspended time; for leases.  */
uint64_t mq_clock_boot_ms (void);
/* Time of day, milliseconds since 1970; for logs only.  */
uint64_t mq_clock_wall_ms (void);
/* Random number other than 0, which means "any" in boot ids.  */
uint64_t mq_clock_random (void);

#endif
