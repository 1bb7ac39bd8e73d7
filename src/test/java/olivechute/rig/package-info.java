/**
 * Test harness that starts several processes of the program, injects faults between them, and checks what their clients
 * and workers observed: docs/rig.md.
 */
package olivechute.rig;
