/**
 * The part of gRPC over HTTP/2 that the SPIFFE Workload API needs, as a state machine without I/O. Header compression
 * (HPACK) comes from a library; frames, flow control and messages are implemented here.
 */
package olivechute.grpc;
