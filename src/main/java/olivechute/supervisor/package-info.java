/**
 * The supervisor, one process per machine that starts and ends nodes according to the orders in the store.
 * {@link olivechute.supervisor.NodeStateMachine} decides for one node and does no I/O;
 * {@link olivechute.supervisor.NodeRunner} carries out the decisions on the thread of
 * {@link olivechute.supervisor.Supervisor}.
 */
package olivechute.supervisor;
