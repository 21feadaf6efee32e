/**
 * The endpoint list: its two forms on the wire and the clients that follow its versions. On the
 * platform the list comes as numbered server-sent events of the control feed ({@link
 * switchgap.endpoints.EventStreamClient}, {@link switchgap.endpoints.EndpointListEvent}); at the
 * gateway as lines of JSON of the list service ({@link switchgap.endpoints.EndpointListWatcher},
 * {@link switchgap.endpoints.EndpointListLine}). Both clients go through the states of {@link
 * switchgap.endpoints.SubscriptionState}; whatever happens to the service, the last list stays in
 * force.
 */
package switchgap.endpoints;
